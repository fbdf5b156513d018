//! The gateway that is responsible for a key, and the questions that others ask it.
//!
//! Made for decisions that need knowledge of all gateways' requests, but are taken for
//! each request within milliseconds: one gateway keeps the state of a key, and the others
//! ask it before they act. Nothing is agreed on and nothing is repeated. Each gateway
//! chooses the owner among those that it hears, so gateways with different lists may
//! choose different ones, and the asker of a lost question falls back on what it knows.
//!
//! - [`owner`] and [`owners`] choose among the members that are heard.
//! - [`OpenQuestions`] holds what was asked until it is answered, it expires, or the
//!   asker stops waiting.
//! - [`heard_fraction`] bounds what an owner may grant: the parts of a fleet that is cut
//!   have an owner each.
//!
//! The crate does no I/O. The caller sends the datagrams, and passes in the timer. The
//! smallest user is `ask_permit` in `crates/gateway/src/request_limits.rs`: the gateway's
//! `Peers::tracker` gives the owner of a key, and `Peers::heard_fraction` the fraction.
//!
//! ```
//! use owner::{Answered, Member, OpenQuestions, Outcome, owner};
//!
//! # let runtime = tokio::runtime::Builder::new_current_thread()
//! #     .enable_time()
//! #     .build()
//! #     .unwrap();
//! # runtime.block_on(async {
//! let members = ["10.0.0.1:80", "10.0.0.2:80"].map(|a| Member::new(a.parse().unwrap()));
//! let questions: OpenQuestions<Vec<u32>> = OpenQuestions::default();
//!
//! // The asker: one answer is awaited for 15 ms.
//! let peer = owner(members, 7).unwrap();
//! let question = questions.ask(Vec::new(), 1, 15);
//! let number = question.number();
//! # let send = |_to: std::net::SocketAddr, _number: u64| {};
//! send(peer, number);
//!
//! // The receiver of datagrams, while the asker waits.
//! let answered = questions.answer(number, |answers| answers.push(42));
//! assert_eq!(answered, Answered::Complete);
//!
//! match question.wait(tokio::time::sleep).await {
//!     Outcome::Complete(answers) => assert_eq!(answers, [42]),
//!     Outcome::Expired(_partial) => unreachable!("falls back"),
//! }
//! assert_eq!(questions.answer(number, |_| {}), Answered::Late);
//! # });
//! ```

mod members;
mod questions;

pub use members::{Member, heard_fraction, owner, owners};
pub use questions::{Answered, OpenQuestions, Outcome, Question};
