//! Questions that are asked of owners and not yet answered.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    future::poll_fn,
    pin::pin,
    task::{Context, Poll, Waker},
    time::Duration,
};

/// Table of open questions of one kind, for use on one thread.
///
/// `S` is what the asker knows: its state before the answers, to which each answer is
/// added.
#[derive(Debug)]
pub struct OpenQuestions<S> {
    last_number: Cell<u64>,
    open: RefCell<HashMap<u64, Entry<S>>>,
}

#[derive(Debug)]
struct Entry<S> {
    state: S,
    /// Number of answers that have not arrived.
    missing: usize,
    /// Wakes the asker.
    waker: Option<Waker>,
}

/// What an answer means for its question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answered {
    /// It was added, and others are still missing.
    Incomplete,
    /// It was added, and was the last one.
    Complete,
    /// It was dropped: all answers have arrived, the question has expired, or its asker
    /// has stopped waiting.
    Late,
}

/// How a question ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome<S> {
    /// All answers have arrived.
    Complete(S),
    /// The time is over; holds the state with the answers so far.
    Expired(S),
}

impl<S> Default for OpenQuestions<S> {
    fn default() -> Self {
        OpenQuestions {
            last_number: Cell::default(),
            open: RefCell::default(),
        }
    }
}

impl<S: Default> OpenQuestions<S> {
    /// Opens a question for which `answers` answers are awaited for `timeout_ms` once the
    /// asker waits. It closes when what is returned is dropped.
    pub fn ask(&self, state: S, answers: usize, timeout_ms: u64) -> Question<'_, S> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let entry = Entry {
            state,
            missing: answers,
            waker: None,
        };
        self.open.borrow_mut().insert(number, entry);
        Question {
            table: self,
            number,
            timeout: Duration::from_millis(timeout_ms),
        }
    }

    /// Adds an answer to the state of its question with `add`, unless it is late.
    pub fn answer<F>(&self, number: u64, add: F) -> Answered
    where
        F: FnOnce(&mut S),
    {
        let mut open = self.open.borrow_mut();
        let entry = open.get_mut(&number).filter(|entry| entry.missing > 0);
        let Some(entry) = entry else {
            return Answered::Late;
        };
        add(&mut entry.state);
        entry.missing -= 1;
        if entry.missing > 0 {
            return Answered::Incomplete;
        }
        let waker = entry.waker.take();
        drop(open);
        if let Some(waker) = waker {
            waker.wake();
        }
        Answered::Complete
    }

    /// Returns the number of open questions.
    pub fn open_count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether no answer is missing; if one is, the asker is woken when the last
    /// one arrives.
    fn poll_complete(&self, number: u64, context: &Context<'_>) -> bool {
        let mut open = self.open.borrow_mut();
        let Some(entry) = open.get_mut(&number) else {
            return false;
        };
        if entry.missing > 0 {
            entry.waker = Some(context.waker().clone());
        }
        entry.missing == 0
    }

    fn close(&self, number: u64) -> S {
        let entry = self.open.borrow_mut().remove(&number);
        entry.map(|entry| entry.state).unwrap_or_default()
    }
}

/// An open question. Dropping it closes it, also because the asker's caller left.
#[must_use = "a question that is dropped is closed"]
pub struct Question<'a, S: Default> {
    table: &'a OpenQuestions<S>,
    number: u64,
    timeout: Duration,
}

impl<S: Default> Question<'_, S> {
    /// Returns the number that answers repeat.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Waits until all answers have arrived or the question expires, measured by `sleep`
    /// from now on.
    ///
    /// Answers that have arrived when the asker is woken count, also if the timer has
    /// ended meanwhile: a busy gateway must not lose the answers that it reads late.
    pub async fn wait<F, T>(self, sleep: F) -> Outcome<S>
    where
        F: FnOnce(Duration) -> T,
        T: Future<Output = ()>,
    {
        let mut timer = pin!(sleep(self.timeout));
        let is_complete = poll_fn(|context| {
            if self.table.poll_complete(self.number, context) {
                return Poll::Ready(true);
            }
            timer.as_mut().poll(context).map(|()| false)
        });
        if is_complete.await {
            Outcome::Complete(self.table.close(self.number))
        } else {
            Outcome::Expired(self.table.close(self.number))
        }
    }
}

impl<S: Default> Drop for Question<'_, S> {
    fn drop(&mut self) {
        self.table.close(self.number);
    }
}

impl<S: Default> fmt::Debug for Question<'_, S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Question")
            .field("number", &self.number)
            .field("timeout", &self.timeout)
            .finish()
    }
}
