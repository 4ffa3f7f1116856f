//! Rule 1: every accepted request has exactly one final response, in time, produced for that request; the request is
//! sent to no node after it.

use super::{Attempt, Auditor, ClientAttempt, Violation};
use crate::record::{Event, Moment, Record};

/// A violation, its description and the records that show it.
type Found<'a> = (Violation, String, Vec<&'a Record>);

/// A client's attempt, with the attempts of the same request at nodes.
struct Exchange<'a, 'b> {
    auditor: &'b Auditor<'a>,
    id: u64,
    client: &'b ClientAttempt<'a>,
    /// All attempts of this request at nodes, for any attempt of the client.
    attempts: Vec<(u64, &'b Attempt<'a>)>,
    /// Start of the client's next attempt: later attempts at nodes belong to that one.
    until: Moment,
    deadline: Moment,
}

impl Auditor<'_> {
    pub(super) fn check_answers(&mut self) {
        let mut found = Vec::new();
        let mut closed_unread = 0;
        for (id, client_attempts) in &self.client_attempts {
            let sent = self.by_request.get(id).map_or(&[][..], Vec::as_slice);
            for (i, client) in client_attempts.iter().enumerate() {
                let exchange = Exchange {
                    auditor: self,
                    id: *id,
                    client,
                    attempts: sent.iter().map(|a| (*a, &self.attempts[a])).collect(),
                    until: client_attempts.get(i + 1).map_or(Moment::MAX, |next| next.sent.at),
                    deadline: client.sent.at + client.patience_us + self.slack,
                };
                exchange.check(&mut found, &mut closed_unread);
            }
        }
        self.verdict.closed_unread = closed_unread;
        for (violation, text, records) in found {
            self.record_finding(violation, text, records);
        }
    }

    /// Whether the run continued for a second after a moment; later responses are not expected.
    fn is_over(&self, at: Moment) -> bool {
        self.records.last().is_some_and(|r| r.at > at + 1_000_000)
    }
}

impl<'a> Exchange<'a, '_> {
    fn check(&self, found: &mut Vec<Found<'a>>, closed_unread: &mut u64) {
        self.check_single_answer(found);
        let Some(end) = self.client.ended.first() else {
            let sent = self.client.sent.at;
            if !self.was_unavailable(sent, self.deadline) && self.auditor.is_over(self.deadline) {
                found.push((Violation::Lost, self.text("came to no end"), self.evidence()));
            }
            return;
        };
        match &end.event {
            Event::Answered { status, attempt, .. } => self.check_answer(end, *status, *attempt, found),
            Event::ClientDisconnected { .. } => {}
            Event::Broken { bytes, .. } => self.check_broken_connection(end, *bytes, found, closed_unread),
            _ if self.was_unavailable(self.client.sent.at, self.deadline) => {}
            _ => found.push((Violation::Lost, self.text("had no answer in its time"), self.evidence())),
        }
        self.check_sent_after(end, found);
    }

    fn check_single_answer(&self, found: &mut Vec<Found<'a>>) {
        let ended = &self.client.ended;
        let answers = ended.iter().filter(|r| matches!(r.event, Event::Answered { .. })).count();
        if answers > 1 || ended.iter().any(|r| matches!(r.event, Event::Surplus { .. })) {
            found.push((Violation::AnsweredTwice, self.text("had more than an answer"), self.evidence()));
        }
    }

    fn check_answer(&self, end: &Record, status: u16, attempt: Option<u64>, found: &mut Vec<Found<'a>>) {
        if end.at > self.deadline && !self.was_unavailable(self.client.sent.at, end.at) {
            let late_ms = (end.at - self.deadline) as f64 / 1e3;
            let text = self.text(&format!("was answered {late_ms:.1} ms after its time"));
            found.push((Violation::AnsweredLate, text, self.evidence()));
        }
        let is_answered_by =
            |number: u64| self.attempts.iter().any(|(n, attempt)| *n == number && attempt.replied);
        if status == 200 && !attempt.is_some_and(is_answered_by) {
            found.push((
                Violation::Foreign,
                self.text("was served with no node's answer to it"),
                self.evidence(),
            ));
        }
    }

    /// Checks an attempt whose connection ended before a complete response.
    fn check_broken_connection(
        &self, end: &Record, bytes: usize, found: &mut Vec<Found<'a>>, closed_unread: &mut u64,
    ) {
        if bytes > 0 || self.was_unavailable(self.client.sent.at, end.at) {
            return;
        }
        let own = self.client.sent.at..self.until;
        let forwarded: Vec<&Record> =
            self.attempts.iter().map(|a| a.1.arriving).filter(|r| own.contains(&r.at)).collect();
        if forwarded.is_empty() {
            // The proxy closed the connection between two requests, or before it read the first one. The client can
            // detect that its request was not processed.
            *closed_unread += 1;
            return;
        }
        let records = self.evidence().into_iter().chain(forwarded).collect();
        found.push((Violation::Lost, self.text("was sent on and its connection closed"), records));
    }

    /// Checks that no node received the request between the end of this attempt and the client's next attempt.
    fn check_sent_after(&self, end: &Record, found: &mut Vec<Found<'a>>) {
        let over = match end.event {
            Event::Unanswered { .. } => self.deadline,
            _ => end.at + self.auditor.slack,
        };
        for (_, attempt) in &self.attempts {
            let arriving = attempt.arriving;
            let is_late = arriving.at > over && arriving.at < self.until;
            if is_late && !self.was_unavailable(self.client.sent.at, arriving.at) {
                let records = self.evidence().into_iter().chain([arriving]).collect();
                found.push((Violation::SentAfterAnswer, self.text("was sent on after its end"), records));
            }
        }
    }

    fn was_unavailable(&self, from: Moment, to: Moment) -> bool {
        self.auditor.was_unavailable(self.client.proxy, from, to)
    }

    fn text(&self, what: &str) -> String {
        format!("request {:016x} {what}", self.id)
    }

    fn evidence(&self) -> Vec<&'a Record> {
        std::iter::once(self.client.sent).chain(self.client.ended.iter().copied()).collect()
    }
}
