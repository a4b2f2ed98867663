//! The schedule of a load, drawn from a seed before the run, for identical runs.

use std::time::Duration;

use celeryknot_core::DurationMs;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::text::{AnswerText, Message};

/// A customer and its share of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerShare {
    /// The customer's name.
    pub name: String,
    /// The customer's share, relative to the others.
    pub weight: f64,
}

/// A period of many more chats of one customer.
#[derive(Debug, Clone, PartialEq)]
pub struct Surge {
    /// The index of the customer.
    pub customer: usize,
    /// The start.
    pub from_ms: DurationMs,
    /// The end.
    pub to_ms: DurationMs,
    /// The multiple of the customer's usual rate of new chats.
    pub multiple: f64,
}

options! {
    /// Options of a load.
    pub struct LoadOptions {
        /// Mean chat requests per second.
        chats_per_s: f64 = 40.0,
        /// Mean bookings per second; 0 without a plain service.
        bookings_per_s: f64 = 4.0,
        /// Mean record reads per second.
        reads_per_s: f64 = 4.0,
        /// Duration of the load.
        length_ms: DurationMs = DurationMs(10_000),
        /// The model service.
        model_service: String = "wakai-llm".to_owned(),
        /// The model.
        model: String = "wakai-8b".to_owned(),
        /// The plain service.
        plain_service: String = "case-svc".to_owned(),
        /// The customers.
        customers: Vec<CustomerShare> = vec![CustomerShare { name: "otaru".to_owned(), weight: 1.0 }],
        /// Mean requests per chat.
        turns_per_chat_mean: f64 = 6.0,
        /// Mean think time between requests of a chat.
        think_time_ms: DurationMs = DurationMs(3_000),
        /// Percentage of think times multiplied by `long_think_time_multiple`.
        long_think_time_percent: u32 = 10,
        /// Multiple of the mean for long think times.
        long_think_time_multiple: f64 = 5.0,
        /// Minimum words in a chat's first message.
        first_words_min: u32 = 300,
        /// Maximum words in a chat's first message.
        first_words_max: u32 = 1_200,
        /// Maximum words in a later message.
        turn_words_max: u32 = 40,
        /// Percentage of chats with streamed responses.
        stream_percent: u32 = 80,
        /// Surges of customers.
        surges: Vec<Surge> = Vec::new(),
        /// Seeds everything that is drawn.
        seed: u64 = 1,
    }
}

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A request of a chat.
    Chat {
        /// The index of the chat.
        chat: usize,
        /// The index of the request in the chat.
        turn: u32,
    },
    /// A booking, with its number.
    Booking(u32),
    /// A read of a record, with its number.
    Read(u32),
}

/// A call and its planned start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedCall {
    /// The time from the start of the run.
    pub at: Duration,
    /// The index of the customer.
    pub customer: usize,
    /// The kind of the call.
    pub kind: CallKind,
}

/// A planned chat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatPlan {
    /// The index of the customer.
    pub customer: usize,
    /// Whether responses are streamed.
    pub is_stream: bool,
    words_seed: u64,
    first_words: u32,
    turn_words_max: u32,
}

/// A planned load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The options that the plan follows.
    pub options: LoadOptions,
    /// The chats.
    pub chats: Vec<ChatPlan>,
    /// The calls, ordered by start time.
    pub calls: Vec<PlannedCall>,
}

/// Minimum think time between requests of a chat.
const THINK_TIME_MIN_S: f64 = 1.2;
/// Chats may start this many mean think times before the run.
const HISTORY_THINK_TIMES: f64 = 24.0;
/// Limits the requests of a chat.
const TURNS_MAX: u32 = 24;

impl LoadPlan {
    /// Draws a plan.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_standins::{LoadOptions, LoadPlan};
    ///
    /// let plan = LoadPlan::draw(LoadOptions::default().chats_per_s(20.0).seed(3));
    /// let again = LoadPlan::draw(LoadOptions::default().chats_per_s(20.0).seed(3));
    /// assert_eq!(plan.calls, again.calls);
    /// ```
    pub fn draw(options: LoadOptions) -> Self {
        let mut random = SmallRng::seed_from_u64(options.seed);
        let mut plan = Self {
            options,
            chats: Vec::new(),
            calls: Vec::new(),
        };
        plan.draw_chats(&mut random);
        plan.draw_surges(&mut random);
        let length_s = plan.length_s();
        for (rate_per_s, is_booking) in [
            (plan.options.bookings_per_s, true),
            (plan.options.reads_per_s, false),
        ] {
            for (number, at_s) in arrivals(&mut random, rate_per_s, 0.0, length_s).enumerate() {
                let number = number as u32;
                let customer = plan.draw_customer(&mut random);
                let kind = if is_booking {
                    CallKind::Booking(number)
                } else {
                    CallKind::Read(number)
                };
                plan.push(at_s, customer, kind);
            }
        }
        plan.calls.sort_by_key(|call| call.at);
        plan
    }

    fn length_s(&self) -> f64 {
        self.options.length_ms.as_std().as_secs_f64()
    }

    fn push(&mut self, at_s: f64, customer: usize, kind: CallKind) {
        self.calls.push(PlannedCall {
            at: Duration::from_secs_f64(at_s),
            customer,
            kind,
        });
    }

    fn draw_chats(&mut self, random: &mut SmallRng) {
        let new_chats_per_s = self.options.chats_per_s / self.options.turns_per_chat_mean.max(1.0);
        let from_s = -self.options.think_time_ms.as_std().as_secs_f64() * HISTORY_THINK_TIMES;
        for at_s in arrivals(random, new_chats_per_s, from_s, self.length_s()) {
            let customer = self.draw_customer(random);
            self.draw_chat(random, customer, at_s, self.length_s());
        }
    }

    fn draw_surges(&mut self, random: &mut SmallRng) {
        let total_weight: f64 = self.options.customers.iter().map(|c| c.weight).sum();
        for surge in self.options.surges.clone() {
            let share = self.options.customers[surge.customer].weight / total_weight;
            let new_chats_per_s =
                self.options.chats_per_s / self.options.turns_per_chat_mean.max(1.0);
            let extra_per_s = new_chats_per_s * share * (surge.multiple - 1.0).max(0.0);
            let from_s = surge.from_ms.as_std().as_secs_f64();
            let to_s = surge.to_ms.as_std().as_secs_f64();
            for at_s in arrivals(random, extra_per_s, from_s, to_s) {
                self.draw_chat(random, surge.customer, at_s, to_s);
            }
        }
    }

    fn draw_chat(&mut self, random: &mut SmallRng, customer: usize, start_s: f64, end_s: f64) {
        let options = &self.options;
        let chat = self.chats.len();
        let plan = ChatPlan {
            customer,
            is_stream: random.random_range(0..100) < options.stream_percent,
            words_seed: random.random(),
            first_words: random.random_range(options.first_words_min..=options.first_words_max),
            turn_words_max: options.turn_words_max.max(1),
        };
        let think_time_s = options.think_time_ms.as_std().as_secs_f64();
        let (long_percent, long_multiple) = (
            options.long_think_time_percent,
            options.long_think_time_multiple,
        );
        let continue_probability = 1.0 - 1.0 / options.turns_per_chat_mean.max(1.0);
        self.chats.push(plan);
        let mut at_s = start_s;
        for turn in 0..TURNS_MAX {
            if at_s >= end_s {
                return;
            }
            if at_s >= 0.0 {
                self.push(at_s, customer, CallKind::Chat { chat, turn });
            }
            if random.random::<f64>() > continue_probability {
                return;
            }
            let is_long = random.random_range(0..100) < long_percent;
            let mean_s = if is_long {
                think_time_s * long_multiple
            } else {
                think_time_s
            };
            at_s += THINK_TIME_MIN_S + exponential(random, (mean_s - THINK_TIME_MIN_S).max(0.1));
        }
    }

    fn draw_customer(&self, random: &mut SmallRng) -> usize {
        let total_weight: f64 = self.options.customers.iter().map(|c| c.weight).sum();
        let mut remaining_weight = random.random::<f64>() * total_weight;
        for (index, customer) in self.options.customers.iter().enumerate() {
            remaining_weight -= customer.weight;
            if remaining_weight <= 0.0 {
                return index;
            }
        }
        0
    }
}

impl ChatPlan {
    /// Extends the history to the request at index `turn`.
    ///
    /// `history` is empty or holds the messages of an earlier request of the same chat.
    pub fn extend(&self, history: &mut Vec<Message>, model: &str, turn: u32) {
        if history.is_empty() {
            history.push(self.user_message(0));
        }
        while history.len() < 2 * turn as usize + 1 {
            let answer = AnswerText::new(model, history, None);
            history.push(Message {
                role: "assistant".to_owned(),
                content: answer.text(),
            });
            history.push(self.user_message(history.len().div_ceil(2) as u32));
        }
    }

    fn user_message(&self, turn: u32) -> Message {
        let mut random = SmallRng::seed_from_u64(self.words_seed.wrapping_add(u64::from(turn)));
        let words = if turn == 0 {
            self.first_words
        } else {
            random.random_range(1..=self.turn_words_max)
        };
        let mut content = String::with_capacity(words as usize * 4);
        for _ in 0..words {
            for _ in 0..3 {
                content.push(char::from(random.random_range(b'a'..=b'z')));
            }
            content.push(' ');
        }
        Message {
            role: "user".to_owned(),
            content,
        }
    }
}

fn exponential(random: &mut SmallRng, mean: f64) -> f64 {
    -(1.0 - random.random::<f64>()).ln() * mean
}

/// Draws the arrival times of a Poisson process.
fn arrivals(
    random: &mut SmallRng,
    rate_per_s: f64,
    from_s: f64,
    to_s: f64,
) -> impl Iterator<Item = f64> + use<> {
    let mut times = Vec::new();
    if rate_per_s <= 0.0 {
        return times.into_iter();
    }
    let mut at_s = from_s + exponential(random, 1.0 / rate_per_s);
    while at_s < to_s {
        times.push(at_s);
        at_s += exponential(random, 1.0 / rate_per_s);
    }
    times.into_iter()
}
