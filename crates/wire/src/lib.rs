//! Messages between the processes of headlatch, most of them generated from
//! `proto/headlatch.proto`.

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
mod generated;

pub use generated::*;

mod bundle;
mod notice;
mod piece_list;

pub use bundle::{BundleDrain, BundleNotice, BundleRoster, PeerBundle};
pub use notice::{
    NoticeCold, NoticeDrain, NoticeEvacuated, NoticeLeaving, NoticeLimit, NoticeLoad,
    NoticeMisdirected, NoticeServer, NoticeSuspect, NoticeSuspectPart, NoticeWanted, PeerNotice,
};
pub use piece_list::PieceList;
