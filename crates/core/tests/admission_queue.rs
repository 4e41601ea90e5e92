//! Which requests wait for an engine, in which order they are sent and which are refused.

use std::{collections::BTreeSet, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::admission::{
    drain_rate::PromptTokens,
    queue::{AdmissionQueue, MAX_WAITING, QueueBound, QueueDecision, QueueLane, QueuedRequest},
    urgency::UrgencyRank,
};
use headlatch_types::traffic::AllowedRegions;
use rstest::rstest;

#[path = "support/waiting.rs"]
mod waiting;

use waiting::{
    Arrivals, ByName, Outcomes, SimulatedEntry, at, contended_kinds, lane, of, offered, ranked,
    request, retrying, send_steadily, wait,
};

/// Guards against a load burst of all kinds that empties no engine but serves the least urgent first.
#[gtest]
fn all_kinds_at_1_7_times_their_rate_keep_the_urgent_in_time() {
    let kinds = contended_kinds().map(|kind| Arrivals { burst: Some((1.7, 2000, 5000)), ..kind });
    let mut entry = SimulatedEntry::new(offered(&kinds));
    entry.run(&kinds, 0..8000);
    expect_that!(entry.outcomes[0].in_time_share(), ge(0.98), "{:?}", entry.outcomes);
    expect_that!(entry.outcomes[0].in_time_share(), ge(entry.outcomes[2].in_time_share()));
    expect_that!(entry.outcomes[2].in_time_share(), ge(0.3), "{:?}", entry.outcomes);
    let late: u32 = entry.outcomes.iter().map(|kind| kind.late).sum();
    expect_that!(late, eq(0), "{:?}", entry.outcomes);
    // All of the burst's time is used: 3 s at the full rate, the rest as offered.
    expect_that!(entry.sent as f64, ge(offered(&kinds) * 8.0 * 0.97));
}

/// Guards against a burst of unurgent requests that fills the queue before the urgent ones arrive, and
/// against waiting ones that overtake urgent ones with a shorter objective once their rank is raised.
#[rstest]
#[case(1.5, 6000)]
#[case(2.5, 12_000)]
fn a_load_burst_of_the_least_urgent_kind_leaves_the_others_alone(
    #[case] factor: f64,
    #[case] until: u64,
) {
    let mut kinds = contended_kinds();
    kinds[2].burst = Some((factor, 2000, until));
    let mut entry = SimulatedEntry::new(offered(&contended_kinds()));
    entry.run(&kinds, 0..until + 2000);
    for kind in &entry.outcomes[..2] {
        assert_that!(kind.in_time_share(), ge(0.98), "{:?}", entry.outcomes);
    }
    assert_that!(entry.outcomes[2].in_time_share(), ge(0.3), "{:?}", entry.outcomes);
}

/// Guards against a long burst of the middle kind that displaces the most urgent one.
#[gtest]
fn a_load_burst_of_the_middle_kind_leaves_the_most_urgent_alone() {
    let mut kinds = contended_kinds();
    kinds[1].burst = Some((2.5, 2000, 12_000));
    let mut entry = SimulatedEntry::new(offered(&contended_kinds()));
    entry.run(&kinds, 0..14_000);
    expect_that!(entry.outcomes[0].in_time_share(), ge(0.98), "{:?}", entry.outcomes);
    expect_that!(entry.outcomes[1].in_time_share(), ge(0.6), "{:?}", entry.outcomes);
}

/// Guards against requests that wait on after a burst although engines have room again.
#[gtest]
fn load_that_ends_early_empties_the_queue() {
    let kinds = contended_kinds().map(|kind| Arrivals { burst: Some((3.0, 1000, 1500)), ..kind });
    let mut entry = SimulatedEntry::new(offered(&kinds));
    entry.run(&kinds, 0..1500);
    expect_that!(entry.queue.len(), ge(1));
    let quiet = kinds.map(|kind| Arrivals { per_second: 0.0, burst: None, ..kind });
    entry.run(&quiet, 1500..2500);
    expect_that!(entry.queue.is_empty(), eq(true));
    expect_that!(entry.queue.would_overtake(at(2500), &ranked(at(2500), 9)), eq(false));
    // What waited was served in time, except for one that its place in the queue made late.
    let [in_time, refused, late] =
        [|one: &Outcomes| one.in_time, |one: &Outcomes| one.refused, |one: &Outcomes| one.late]
            .map(|count| entry.outcomes.iter().map(count).sum::<u32>());
    expect_that!(in_time, ge(9), "{:?}", entry.outcomes);
    expect_that!((refused, late), any![eq((0, 0)), eq((1, 0))], "{:?}", entry.outcomes);
}

/// Guards against a herd of retrying callers that takes the place of requests that can be in time.
#[gtest]
fn callers_that_retry_after_a_load_burst_are_served_beside_new_ones() {
    let kinds = contended_kinds().map(|kind| Arrivals { burst: Some((1.7, 2000, 5000)), ..kind });
    let outcomes = [false, true].map(|callers_retry| {
        let mut entry = SimulatedEntry::new(offered(&kinds) * 1.1);
        entry.callers_retry = callers_retry;
        // The surplus of 10 % needs as long to clear what has piled up by the end of the burst.
        entry.run(&kinds, 0..20_000);
        expect_that!(entry.longest, le(MAX_WAITING));
        entry.outcomes
    });
    let served = |outcomes: &[Outcomes]| -> u32 {
        outcomes.iter().map(|kind| kind.in_time + kind.late).sum()
    };
    let [once, twice] = &outcomes;
    expect_that!(served(twice), gt(served(once)), "{outcomes:?}");
    // The most urgent kind is served as before.
    let missed = |kind: &Outcomes| kind.refused + kind.late;
    expect_that!(missed(&twice[0]), le(missed(&once[0]) + 2), "{outcomes:?}");
}

/// Guards against retrying callers, who have less time left, being sent after new ones of their rank.
#[gtest]
fn a_herd_of_retrying_callers_goes_before_new_ones_of_the_same_rank_only() {
    let mut queue = AdmissionQueue::default();
    let new = wait(&mut queue, at(0), ranked(at(0), 1));
    let again = wait(&mut queue, at(10), retrying(at(10), 1));
    let urgent = wait(&mut queue, at(20), ranked(at(20), 0));
    let order = std::iter::from_fn(|| {
        let ticket = queue.head(at(30), &lane("llm"))?;
        queue.remove(at(30), ticket);
        Some(ticket)
    });
    expect_that!(order.collect::<Vec<_>>(), elements_are![eq(&urgent), eq(&again), eq(&new)]);
}

/// Guards against late service of retrying callers in place of requests that can still be in time.
#[gtest]
fn a_retrying_caller_waits_for_late_service_behind_all_that_can_be_in_time() {
    let mut queue = AdmissionQueue::default();
    let late = wait(&mut queue, at(0), retrying(at(0), 0));
    let now = at(500);
    expect_that!(queue.due(now), is_empty());
    expect_that!(queue.would_overtake(now, &ranked(now, 9)), eq(false));
    let in_time = wait(&mut queue, now, ranked(now, 9));
    expect_that!(queue.head(now, &lane("llm")), some(eq(in_time)));
    queue.remove(now, in_time);
    expect_that!(queue.head(now, &lane("llm")), some(eq(late)));
    // Its deadline is at 4.5 s.
    expect_that!(queue.due(at(3499)), is_empty());
    expect_that!(queue.due(at(3501)), elements_are![eq(&(late, QueueBound::Deadline))]);
    expect_that!(queue.is_empty(), eq(true));
}

/// Guards against new callers that wait for an answer which no longer counts in full.
#[gtest]
fn a_new_request_is_refused_as_soon_as_it_can_only_be_late() {
    let mut queue = AdmissionQueue::default();
    let ticket = wait(&mut queue, at(0), request(at(0)));
    expect_that!(queue.due(at(340)), is_empty());
    expect_that!(queue.due(at(341)), elements_are![eq(&(ticket, QueueBound::Late))]);
}

/// Guards against requests that wait although the queue before them takes longer than their objective.
#[gtest]
fn a_request_behind_a_long_queue_is_refused_on_arrival() {
    let mut queue = AdmissionQueue::default();
    let now = at(10_000);
    send_steadily(&mut queue, now, 8000);
    // 340 ms at 8,000 tokens a second are three prompts of 800 tokens.
    for _ in 0..4 {
        wait(&mut queue, now, request(now));
    }
    expect_that!(queue.offer(now, request(now)), eq(QueueDecision::Refuse(QueueBound::Late)));
    wait(&mut queue, now, retrying(now, 1));
}

/// Guards against requests that wait for a server which has left: the others send fewer tokens.
#[gtest]
fn a_server_that_leaves_shortens_the_queue() {
    let mut queue = AdmissionQueue::default();
    let now = at(10_000);
    send_steadily(&mut queue, now, 8000);
    let tickets: Vec<_> = (0..4).map(|_| wait(&mut queue, now, request(now))).collect();
    // e^-0.2, or 82 %, of the rate is left after 0.2 s in which nothing is sent.
    let later = at(10_200);
    let due = queue.due(later);
    expect_that!(
        due.iter().map(|(_, bound)| *bound).all(|bound| bound == QueueBound::Late),
        eq(true)
    );
    expect_that!(due.len(), ge(2));
    expect_that!(queue.head(later, &lane("llm")), some(eq(tickets[0])));
}

/// Guards against a queue that stays long, or is served late, while a failure domain with half of the
/// engines is cut off and after it has returned.
#[gtest]
fn a_failure_domain_that_is_cut_off_costs_its_share_of_requests_only() {
    let kinds = contended_kinds();
    let mut entry = SimulatedEntry::new(offered(&kinds) * 1.1);
    entry.run(&kinds, 0..3000);
    entry.per_second /= 2.0;
    entry.run(&kinds, 3000..8000);
    expect_that!(entry.outcomes[0].in_time_share(), ge(0.9), "{:?}", entry.outcomes);
    let late = |outcomes: &[Outcomes]| outcomes.iter().map(|kind| kind.late).sum::<u32>();
    expect_that!(late(&entry.outcomes), eq(0), "{:?}", entry.outcomes);
    entry.per_second *= 2.0;
    entry.run(&kinds, 8000..10_000);
    expect_that!(entry.outcomes[0].refused + entry.outcomes[1].refused, le(1));
    entry.run(&kinds, 10_000..14_000);
    let refused: u32 = entry.outcomes.iter().map(|kind| kind.refused).sum();
    expect_that!((refused, late(&entry.outcomes)), eq((0, 0)), "{:?}", entry.outcomes);
}

/// The request, allowed to run in these regions only.
fn within(regions: &[&str], request: QueuedRequest) -> QueuedRequest {
    let regions: BTreeSet<_> =
        regions.iter().map(|name| name.parse().expect("valid name")).collect();
    let lane = QueueLane { service: "llm".into(), regions: AllowedRegions::Only(regions) };
    QueuedRequest { lane, ..request }
}

/// Guards against unurgent requests bound to a region that take its servers from urgent ones which may run
/// there as well.
#[gtest]
fn requests_of_a_region_do_not_overtake_more_urgent_ones_of_more_regions() {
    let mut queue = AdmissionQueue::default();
    let urgent = wait(&mut queue, at(0), request(at(0)));
    expect_that!(queue.would_overtake(at(1), &within(&["r1"], ranked(at(1), 9))), eq(true));
    let bound = wait(&mut queue, at(1), within(&["r1"], ranked(at(1), 9)));
    let other = wait(&mut queue, at(1), within(&["r1", "r2"], ranked(at(1), 5)));
    expect_that!(queue.heads(at(2)), elements_are![eq(&urgent)]);
    queue.remove(at(2), urgent);
    expect_that!(queue.heads(at(2)), elements_are![eq(&other)]);
    expect_that!(queue.would_overtake(at(2), &within(&["r2"], ranked(at(2), 9))), eq(true));
    // A region that only one of them may use, and another service.
    expect_that!(queue.would_overtake(at(2), &within(&["r2", "r3"], ranked(at(2), 9))), eq(false));
    let service = QueueLane { service: "other".into(), regions: AllowedRegions::Anywhere };
    let elsewhere = QueuedRequest { lane: service, ..ranked(at(2), 9) };
    expect_that!(queue.would_overtake(at(2), &elsewhere), eq(false));
    queue.remove(at(3), other);
    expect_that!(queue.heads(at(3)), elements_are![eq(&bound)]);
}

/// Guards against an entry with a small share of a processor that tries all of many lanes at every change of
/// load, and against lanes that are never tried.
#[gtest]
fn a_few_lanes_are_tried_at_a_time_in_order_of_urgency() {
    let mut queue = AdmissionQueue::default();
    let tickets: Vec<_> = [5, 3, 1, 0, 2, 4]
        .map(|rank| {
            let region = format!("r{rank}");
            (rank, wait(&mut queue, at(0), within(&[&region], ranked(at(0), rank))))
        })
        .into();
    let mut next = || -> Vec<usize> {
        let heads = queue.next_heads(at(1));
        let rank = |head| tickets.iter().find(|(_, ticket)| *ticket == head).map(|(rank, _)| *rank);
        heads.into_iter().filter_map(rank).collect()
    };
    expect_that!(next(), eq(&vec![0, 1, 2, 3]));
    expect_that!(next(), eq(&vec![4, 5, 0, 1]));
    expect_that!(next(), eq(&vec![2, 3, 0, 1]));
    expect_that!(next(), eq(&vec![4, 5, 0, 1]));
    queue.remove(at(2), tickets[0].1);
    queue.remove(at(2), tickets[1].1);
    let few = queue.next_heads(at(2));
    expect_that!(few.len(), eq(4));
    expect_that!(queue.next_heads(at(2)), eq(&few));
}

/// Guards against requests bound to a region without room that keep others from regions with room.
#[gtest]
fn requests_of_a_region_without_room_do_not_hold_up_others() {
    let mut queue = AdmissionQueue::default();
    let ticket = wait(&mut queue, at(0), within(&["r1"], request(at(0))));
    expect_that!(queue.would_overtake(at(1), &ranked(at(1), 9)), eq(false));
    let free = wait(&mut queue, at(1), ranked(at(1), 9));
    expect_that!(queue.heads(at(2)), unordered_elements_are![eq(&ticket), eq(&free)]);
}

/// Guards against tickets that stay behind when callers disconnect and close the queue to others.
#[gtest]
fn a_queue_full_of_callers_that_disconnect_is_free_again() {
    let mut queue = AdmissionQueue::default();
    let tickets: Vec<_> =
        (0..MAX_WAITING).map(|_| wait(&mut queue, at(0), ranked(at(0), 1))).collect();
    let refused = QueueDecision::Refuse(QueueBound::Length);
    expect_that!(queue.offer(at(1), ranked(at(1), 1)), eq(refused));
    tickets.into_iter().for_each(|ticket| queue.remove(at(1), ticket));
    expect_that!(queue.is_empty(), eq(true));
    expect_that!(queue.due(at(2)), is_empty());
    wait(&mut queue, at(2), ranked(at(2), 1));
}

/// Guards against a queue full of unurgent requests that keeps urgent ones out.
#[gtest]
fn an_urgent_request_takes_the_place_of_a_less_urgent_one_in_a_full_queue() {
    let mut queue = AdmissionQueue::default();
    let tickets: Vec<_> =
        (0..MAX_WAITING).map(|_| wait(&mut queue, at(0), ranked(at(0), 2))).collect();
    let urgent = wait(&mut queue, at(1), ranked(at(1), 0));
    expect_that!(queue.len(), eq(MAX_WAITING));
    let last = tickets.last().copied().expect("the queue is full");
    expect_that!(queue.due(at(1)), elements_are![eq(&(last, QueueBound::Length))]);
    expect_that!(queue.head(at(1), &lane("llm")), some(eq(urgent)));
}

/// Guards against a queue filled by unurgent requests of one region that keeps urgent ones of others out.
#[gtest]
fn an_urgent_request_takes_the_place_of_the_least_urgent_one_of_all_lanes() {
    let mut queue = AdmissionQueue::default();
    let least = wait(&mut queue, at(0), within(&["r1"], ranked(at(0), 3)));
    for _ in 1..MAX_WAITING {
        wait(&mut queue, at(0), within(&["r1"], ranked(at(0), 2)));
    }
    let urgent = wait(&mut queue, at(1), within(&["r2"], ranked(at(1), 0)));
    expect_that!(queue.len(), eq(MAX_WAITING));
    expect_that!(queue.due(at(1)), elements_are![eq(&(least, QueueBound::Length))]);
    expect_that!(queue.heads(at(1)).first(), some(eq(&urgent)));
    let refused = QueueDecision::Refuse(QueueBound::Length);
    expect_that!(queue.offer(at(2), within(&["r2"], ranked(at(2), 2))), eq(refused));
}

/// Guards against unurgent requests that starve under a steady stream of more urgent ones.
#[gtest]
fn a_waiting_request_is_raised_by_a_rank_for_each_half_objective() {
    let mut queue = AdmissionQueue::default();
    let objective = Duration::from_secs(1);
    let patient = wait(&mut queue, at(0), QueuedRequest { objective, ..ranked(at(0), 3) });
    let urgent = wait(&mut queue, at(499), ranked(at(499), 2));
    let other = wait(&mut queue, at(499), QueuedRequest { objective, ..retrying(at(499), 3) });
    // The other one has an earlier deadline, until the patient one is raised to rank 2.
    queue.remove(at(499), urgent);
    expect_that!(queue.head(at(499), &lane("llm")), some(eq(other)));
    expect_that!(queue.head(at(500), &lane("llm")), some(eq(patient)));
    // A request that has rank 2 anyway still goes first.
    let urgent = wait(&mut queue, at(500), ranked(at(500), 2));
    expect_that!(queue.head(at(500), &lane("llm")), some(eq(urgent)));
    expect_that!(queue.would_overtake(at(500), &ranked(at(500), 2)), eq(true));
    queue.remove(at(500), urgent);
    expect_that!(queue.would_overtake(at(500), &ranked(at(500), 2)), eq(false));
    expect_that!(queue.would_overtake(at(500), &ranked(at(500), 3)), eq(true));
}

/// Guards against waiting requests that keep the rank of an earlier plan beside new ones with ranks of the plan
/// in force.
#[gtest]
fn a_plan_that_changes_priorities_keeps_the_order_of_waiting_requests() {
    let mut queue = AdmissionQueue::default();
    let urgent = wait(&mut queue, at(0), ranked(at(0), 2));
    let patient = wait(&mut queue, at(0), ranked(at(0), 7));
    // The newer plan has the ranks 0 to 2 only.
    queue.set_rank(patient, UrgencyRank::new(2));
    queue.set_rank(urgent, UrgencyRank::new(0));
    let after = wait(&mut queue, at(100), ranked(at(100), 1));
    expect_that!(queue.would_overtake(at(100), &ranked(at(100), 2)), eq(true));
    let order = std::iter::from_fn(|| {
        let ticket = queue.head(at(100), &lane("llm"))?;
        queue.remove(at(100), ticket);
        Some(ticket)
    });
    expect_that!(order.collect::<Vec<_>>(), elements_are![eq(&urgent), eq(&after), eq(&patient)]);
    // The request has left; its rank no longer matters.
    queue.set_rank(urgent, UrgencyRank::new(1));
    expect_that!(queue.is_empty(), eq(true));
}

/// Guards against an order among organisations that overrides urgency.
#[gtest]
fn the_order_of_organisations_decides_within_a_rank_only() {
    let mut queue = AdmissionQueue::new(Box::new(ByName));
    let last = wait(&mut queue, at(0), of("b", ranked(at(0), 1)));
    let second = wait(&mut queue, at(1), of("a", ranked(at(1), 1)));
    let first = wait(&mut queue, at(2), of("c", ranked(at(2), 0)));
    let order = std::iter::from_fn(|| {
        let ticket = queue.head(at(3), &lane("llm"))?;
        queue.remove(at(3), ticket);
        Some(ticket)
    });
    expect_that!(order.collect::<Vec<_>>(), elements_are![eq(&first), eq(&second), eq(&last)]);
}

/// Guards against logs that do not show where a request waits.
#[gtest]
fn the_place_of_a_request_counts_what_is_sent_before_it() {
    let mut queue = AdmissionQueue::default();
    let now = at(10_000);
    wait(&mut queue, now, ranked(now, 2));
    let second = wait(&mut queue, now, ranked(now, 2));
    let place = queue.place(now, second).expect("it waits");
    expect_that!((place.ahead, place.predicted_wait), eq((1, None)));
    let mut queue = AdmissionQueue::default();
    send_steadily(&mut queue, now, 8000);
    wait(&mut queue, now, ranked(now, 2));
    let second = wait(&mut queue, now, ranked(now, 2));
    let place = queue.place(now, second).expect("it waits");
    let wait = place.predicted_wait.expect("the rate is known");
    expect_that!(wait, all![ge(Duration::from_millis(95)), le(Duration::from_millis(105))]);
}

/// Guards against refusals by the rate of arrivals, while engines could take far more.
#[gtest]
fn requests_that_come_together_after_single_ones_are_not_refused() {
    let mut queue = AdmissionQueue::default();
    for second in 0..10 {
        queue.record_sent(at(second * 1000), &lane("llm"), PromptTokens(800));
    }
    wait(&mut queue, at(10_000), request(at(10_000)));
    wait(&mut queue, at(10_000), request(at(10_000)));
    // The one prompt sent while another request waits does not show the rate of the engines either.
    queue.record_sent(at(10_200), &lane("llm"), PromptTokens(800));
    wait(&mut queue, at(10_200), request(at(10_200)));
}

/// Guards against a rate that falls in the time between two load bursts in which no request waits.
#[gtest]
fn only_time_with_waiting_requests_counts_for_the_rate() {
    let mut queue = AdmissionQueue::default();
    for burst in 0..3 {
        let now = at(1000 + burst * 300);
        for _ in 0..3 {
            wait(&mut queue, now, request(now));
        }
        for sent in 1..=3 {
            let sent_at = now + Duration::from_millis(sent * 20);
            queue.record_sent(sent_at, &lane("llm"), PromptTokens(800));
            let ticket = queue.head(sent_at, &lane("llm")).expect("a request waits");
            queue.remove(sent_at, ticket);
        }
    }
    // 800 tokens each 20 ms.
    let rate = queue.rate(at(1700), &lane("llm")).per_second();
    expect_that!(rate, all![ge(39_000.0), le(41_000.0)]);
    expect_that!(queue.rate(at(2700), &lane("llm")).per_second(), eq(0.0));
}

/// Guards against an entry that was idle and refuses the first requests of a burst as too late.
#[gtest]
fn a_rate_of_long_ago_does_not_predict_the_wait() {
    let mut queue = AdmissionQueue::default();
    queue.record_sent(at(0), &lane("llm"), PromptTokens(800));
    for _ in 0..10 {
        wait(&mut queue, at(5000), request(at(5000)));
    }
}

/// Guards against requests without an objective that wait past their deadline or for ever.
#[gtest]
fn a_request_without_an_objective_waits_until_shortly_before_its_deadline() {
    let mut queue = AdmissionQueue::default();
    let ticket =
        wait(&mut queue, at(0), QueuedRequest { objective: Duration::ZERO, ..request(at(0)) });
    expect_that!(queue.due(at(5000)), is_empty());
    expect_that!(queue.due(at(5001)), elements_are![eq(&(ticket, QueueBound::Deadline))]);
}

/// Guards against waiting requests that fill the engines until all of their requests are late.
#[gtest]
fn a_waiting_request_is_sent_only_where_it_is_in_time_unless_it_is_late_anyway() {
    let left = |request: &QueuedRequest, now| request.objective_left(at(now));
    let new = request(at(0));
    expect_that!(left(&new, 100), some(eq(Duration::from_millis(300))));
    expect_that!(left(&new, 340), some(eq(Duration::from_millis(60))));
    // The first token takes 60 ms at an idle engine.
    expect_that!(left(&new, 341), none());
    expect_that!(left(&retrying(at(0), 1), 1000), none());
    let unbound = QueuedRequest { objective: Duration::ZERO, ..new };
    expect_that!(left(&unbound, 100), none());
}
