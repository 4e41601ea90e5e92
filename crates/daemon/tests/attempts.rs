//! An entry's single attempt at a request, against an agent that fails at a given step of its
//! answer. Guards against returning an answer with missing, repeated or foreign frames as complete,
//! and against reporting "not run" for a request that may have run.

use std::{net::SocketAddr, pin::Pin};

use bytes::Bytes;
use futures_util::Stream;
use headlatch_daemon::{
    entry::attempt::{self, AttemptStart, ResponsePart},
    node::channels::ChannelCache,
};
use headlatch_types::RunVerdict;
use headlatch_wire::{
    Data, End, Head, RefusalCause, Refused, ServeFrame, ServeRequest, Verdict,
    endpoint_server::{Endpoint, EndpointServer},
    serve_frame::Part,
};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

/// How the scripted agent misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgentFault {
    None,
    Refuses,
    BreaksBeforeHead,
    BreaksAfterHead,
    MissingEnd,
    DropsFrame,
    RepeatsFrame,
    WrongRequestId,
    ShortBody,
    EndpointFailed,
    DuplicateEnd,
}

struct ScriptedAgent(AgentFault);

fn frames(fault: AgentFault) -> Vec<Result<ServeFrame, Status>> {
    let mut sequence = 0;
    let mut frame = |id: &str, part: Part| {
        sequence += 1;
        ServeFrame {
            request_id: id.to_owned(),
            sequence: sequence - 1,
            part: Some(part),
            load: None,
        }
    };
    let data = |text: &'static str| Part::Data(Data { body: Bytes::from_static(text.as_bytes()) });
    let end = |verdict: Verdict, body_bytes, error: &str| {
        Part::End(End { verdict: verdict.into(), body_bytes, error: error.to_owned() })
    };
    let head = Part::Head(Head { status: 200, headers: Vec::new(), set_key: 1 });
    let refused = Refused { cause: RefusalCause::Busy.into(), retry_after_ms: 0 };
    if fault == AgentFault::Refuses {
        return vec![Ok(frame("mine", Part::Refused(refused)))];
    }
    let id = if fault == AgentFault::WrongRequestId { "other" } else { "mine" };
    let mut all = vec![
        frame("mine", head),
        frame(id, data("one ")),
        frame("mine", data("two")),
        frame("mine", end(Verdict::Ran, 7, "")),
    ];
    let connection_lost = || Err(Status::unavailable("it broke off"));
    match fault {
        AgentFault::BreaksBeforeHead => return vec![connection_lost()],
        AgentFault::BreaksAfterHead => return vec![Ok(all.remove(0)), connection_lost()],
        AgentFault::MissingEnd => drop(all.pop()),
        AgentFault::DropsFrame => drop(all.remove(1)),
        AgentFault::RepeatsFrame => all.insert(1, all[1].clone()),
        AgentFault::ShortBody => all[3].part = Some(end(Verdict::Ran, 8, "")),
        AgentFault::EndpointFailed => all[3].part = Some(end(Verdict::MayHaveRun, 7, "broke")),
        AgentFault::DuplicateEnd => all.push(all[3].clone()),
        _ => {}
    }
    all.into_iter().map(Ok).collect()
}

type FrameStream = Pin<Box<dyn Stream<Item = Result<ServeFrame, Status>> + Send>>;

#[tonic::async_trait]
impl Endpoint for ScriptedAgent {
    type ServeStream = FrameStream;

    async fn serve(&self, _: Request<ServeRequest>) -> Result<Response<FrameStream>, Status> {
        Ok(Response::new(Box::pin(futures_util::stream::iter(frames(self.0)))))
    }
}

async fn start(fault: AgentFault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = EndpointServer::new(ScriptedAgent(fault));
    let server = tonic::transport::Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    address
}

/// Runs one attempt and returns its verdict, and the answer if it is complete.
async fn attempt(address: SocketAddr) -> (RunVerdict, Option<String>) {
    let request = ServeRequest { request_id: "mine".to_owned(), ..ServeRequest::default() };
    let mut answer = match attempt::begin(&ChannelCache::default(), address, request).await {
        AttemptStart::Refused(..) => return (RunVerdict::NotRun, None),
        AttemptStart::Failed(failure) => return (failure.verdict, None),
        AttemptStart::Response(answer) => answer,
    };
    let mut text = String::new();
    loop {
        match answer.next().await {
            Ok(ResponsePart::Data(data)) => text.push_str(std::str::from_utf8(&data).unwrap()),
            Ok(ResponsePart::End) => return (RunVerdict::Ran, Some(text)),
            Err(failure) => return (failure.verdict, None),
        }
    }
}

#[rstest]
#[case(AgentFault::None, RunVerdict::Ran)]
#[case(AgentFault::DuplicateEnd, RunVerdict::Ran)]
#[case(AgentFault::Refuses, RunVerdict::NotRun)]
#[case(AgentFault::BreaksBeforeHead, RunVerdict::MayHaveRun)]
#[case(AgentFault::BreaksAfterHead, RunVerdict::MayHaveRun)]
#[case(AgentFault::MissingEnd, RunVerdict::MayHaveRun)]
#[case(AgentFault::DropsFrame, RunVerdict::MayHaveRun)]
#[case(AgentFault::RepeatsFrame, RunVerdict::MayHaveRun)]
#[case(AgentFault::WrongRequestId, RunVerdict::MayHaveRun)]
#[case(AgentFault::ShortBody, RunVerdict::MayHaveRun)]
#[case(AgentFault::EndpointFailed, RunVerdict::MayHaveRun)]
#[tokio::test]
async fn only_a_complete_answer_with_the_right_request_id_is_returned(
    #[case] fault: AgentFault,
    #[case] verdict: RunVerdict,
) {
    let (actual, text) = attempt(start(fault).await).await;
    assert_eq!(actual, verdict);
    let expected = (verdict == RunVerdict::Ran).then(|| "one two".to_owned());
    assert_eq!(text, expected);
}

#[tokio::test]
async fn an_unreachable_agent_counts_as_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(attempt(address).await, (RunVerdict::NotRun, None));
}
