//! The notice that processes send each other in one datagram.

/// What a process has in progress at one server.
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct NoticeLoad {
    /// Key of the server.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Prompt tokens that have not been read there.
    #[prost(uint64, tag = "3")]
    pub waiting_tokens: u64,
}

/// What an agent tells of its server.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct NoticeServer {
    /// Its address: the bytes of the IP number, then the port.
    #[prost(bytes = "vec", tag = "1")]
    pub address: Vec<u8>,
    /// Version that it holds whole; 0 for none.
    #[prost(uint64, tag = "2")]
    pub whole: u64,
    /// It is changing weights.
    #[prost(bool, tag = "3")]
    pub changing: bool,
    /// Version that it is ready to change to; 0 for none.
    #[prost(uint64, tag = "4")]
    pub staged: u64,
    /// Version whose pieces it hands on; 0 for none.
    #[prost(uint64, tag = "5")]
    pub sharing: u64,
    /// Its zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Its service.
    #[prost(string, tag = "7")]
    pub service: String,
    /// Its pace in hundredths: over 100, it is slower than configured; 0 for none.
    #[prost(uint32, tag = "8")]
    pub pace: u32,
}

/// An entry's word that it sends nothing to a server that is about to change.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct NoticeDrain {
    /// Address of the server.
    #[prost(bytes = "vec", tag = "1")]
    pub server: Vec<u8>,
    /// Requests of the entry that have not begun there.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Streams of the entry that nobody could go on with if they were cut now.
    #[prost(uint32, tag = "3")]
    pub kept: u32,
}

/// A version of weights that is wanted.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct NoticeWanted {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// How long the sender has known it, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Failure domains that are being emptied.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct NoticeEvacuated {
    /// Place in the store's history that the set is of.
    #[prost(uint64, tag = "1")]
    pub mark: u64,
    /// Keys of the failure domains.
    #[prost(fixed32, repeated, tag = "2")]
    pub domains: Vec<u32>,
}

/// Word that a server is leaving, or back.
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct NoticeLeaving {
    /// Key of the server.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Revision of the store at which it was so.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether it is back.
    #[prost(bool, tag = "3")]
    pub returned: bool,
}

/// Word of a request under which servers ended.
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct NoticeSuspect {
    /// Digest of the request.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// What is told: 0 a server's end before it brought anything, 1 the same after, 2 that the request
    /// is refused, 3 that it is cleared.
    #[prost(uint32, tag = "2")]
    pub word: u32,
    /// Key of the life of the server that ended.
    #[prost(fixed32, tag = "3")]
    pub life: u32,
    /// Seconds for which the request is still refused.
    #[prost(uint32, tag = "4")]
    pub left_s: u32,
}

/// Word of a prompt part under which servers ended.
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct NoticeSuspectPart {
    /// Key of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// What is told: 0 a server's end, 1 that requests with the part are refused, 2 that its ends
    /// have another cause, 3 that a server wrote on it and lived on.
    #[prost(uint32, tag = "2")]
    pub word: u32,
    /// Key of the life of the server that ended.
    #[prost(fixed32, tag = "3")]
    pub life: u32,
    /// Seconds for which requests with the part are still refused.
    #[prost(uint32, tag = "4")]
    pub left_s: u32,
    /// Milliseconds since the server ended, or since one began to write on the part and lived on.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
}

/// A rate limit that a server advertises.
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct NoticeLimit {
    /// Key of the life of the server.
    #[prost(fixed32, tag = "1")]
    pub life: u32,
    /// Thousandths of a request a second; none if the limit was lifted.
    #[prost(uint64, optional, tag = "2")]
    pub limit_milli: Option<u64>,
    /// Milliseconds since the server advertised it.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// A server that says that it is cold.
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct NoticeCold {
    /// Key of the life of the server.
    #[prost(fixed32, tag = "1")]
    pub life: u32,
    /// Milliseconds for which it stays cold.
    #[prost(uint32, tag = "2")]
    pub remaining_ms: u32,
}

/// A server at whose address another one answers.
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct NoticeMisdirected {
    /// Key of the life of the server that a request was for.
    #[prost(fixed32, tag = "1")]
    pub life: u32,
    /// Milliseconds since the answer.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// A notice.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct PeerNotice {
    /// Where the sender hears notices.
    #[prost(bytes = "vec", tag = "1")]
    pub from: Vec<u8>,
    /// Whether it is an agent.
    #[prost(bool, tag = "2")]
    pub agent: bool,
    /// Drawn at its start.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
    /// Rises with every notice.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Version of the plan that it has.
    #[prost(uint64, tag = "5")]
    pub plan: u64,
    /// Others that it hears.
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub peers: Vec<Vec<u8>>,
    /// What it has in progress; where `changes_only` is set, only at servers where that changed.
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<NoticeLoad>,
    /// Its server, if it looks after one.
    #[prost(message, optional, tag = "8")]
    pub server: Option<NoticeServer>,
    /// Servers that it sends nothing to because they are about to change.
    #[prost(message, repeated, tag = "9")]
    pub drains: Vec<NoticeDrain>,
    /// Key of its failure domain.
    #[prost(fixed32, tag = "10")]
    pub domain: u32,
    /// Whether `loads` leaves out servers where nothing changed.
    #[prost(bool, tag = "11")]
    pub changes_only: bool,
    /// What all entries of its failure domain have in progress; only one of them tells.
    #[prost(message, repeated, tag = "12")]
    pub domain_loads: Vec<NoticeLoad>,
    /// Whether `domain_loads` is told: it may be empty.
    #[prost(bool, tag = "13")]
    pub tells_domain: bool,
    /// Whether its calls to the store are answered, as far as it knows.
    #[prost(bool, tag = "14")]
    pub reads_store: bool,
    /// Wanted versions that decide until when older ones may be used.
    #[prost(message, repeated, tag = "15")]
    pub wanted: Vec<NoticeWanted>,
    /// Revision of the newest change of servers that it has taken in; 0 if it tells none.
    #[prost(uint64, tag = "16")]
    pub servers: u64,
    /// Servers that it has heard to be leaving a short time ago.
    #[prost(message, repeated, tag = "17")]
    pub leaving: Vec<NoticeLeaving>,
    /// Requests under which servers ended.
    #[prost(message, repeated, tag = "18")]
    pub suspects: Vec<NoticeSuspect>,
    /// Failure domains that are being emptied; none if nothing is known of that.
    #[prost(message, optional, tag = "19")]
    pub evacuated: Option<NoticeEvacuated>,
    /// Rate limits that servers have advertised.
    #[prost(message, repeated, tag = "20")]
    pub limits: Vec<NoticeLimit>,
    /// Keys of the lives of servers that have announced that they drain.
    #[prost(fixed32, repeated, tag = "21")]
    pub draining_lives: Vec<u32>,
    /// Prompt parts under which servers ended.
    #[prost(message, repeated, tag = "22")]
    pub suspect_parts: Vec<NoticeSuspectPart>,
    /// Servers that have said in their answers that they are cold.
    #[prost(message, repeated, tag = "23")]
    pub cold: Vec<NoticeCold>,
    /// Servers at whose addresses others answer.
    #[prost(message, repeated, tag = "24")]
    pub misdirected: Vec<NoticeMisdirected>,
}
