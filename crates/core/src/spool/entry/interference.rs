//! Learns which kinds of tasks slow each other down on one server.
//!
//! Designed for tens of entries that each see some 100 to 400 ended tasks a second, of up to 12
//! kinds, on up to some hundred servers of different and changing speed; declared run times are off
//! by 40%, and a few percent of the tasks take several times the usual time.
//!
//! For each kind, a regression explains the logarithm of run time divided by estimate by the shares
//! of the server's CPU that each kind had beside the task:
//!
//! - The server's own speed, the median of its last residuals, is subtracted first.
//! - The effect that the load has in any case, the median of the effects of all kinds, is
//!   subtracted from the effect of each.
//! - Residuals beyond a few standard deviations have no influence (Tukey's biweight), so that
//!   stragglers and servers that have just become slow do not count.
//! - Old runs lose weight by the number of later runs and by time.
//! - The standard error comes from leaving out one of 16 groups of runs at a time. A group holds all
//!   runs of a server in a span of 2 s, which share the faults of the model.
//!
//! A pair counts as interfering only when its effect is both certain and large.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::super::message::{Kind, Presence, Share};
use crate::time::Monotonic;

/// Most kinds that are told apart. The state grows with the square; 12 take 0.3 MB.
const MAX_KINDS: usize = 12;

/// Coefficients of one regression: a constant, and the effect of each kind.
const COEFFICIENTS: usize = MAX_KINDS + 1;

/// Most servers whose speed is remembered. The one that was seen longest ago makes room.
const MAX_SERVERS: usize = 1_024;

/// Groups of runs for the standard error.
const GROUPS: usize = 16;

/// Time span of the runs of one server that go into the same group. Errors of the server's speed
/// last about as long.
const GROUP_SPAN: Duration = Duration::from_secs(2);

/// Number of later runs of a kind after which a run has lost two thirds of its weight. At 100 runs
/// a second the estimate follows a change within a minute.
const MEMORY_RUNS: f64 = 4_000.0;

/// Time after which a run has lost half of its weight in any case.
const HALF_LIFE: Duration = Duration::from_mins(2);

/// Number of a server's last sampled runs whose median residual is its speed. It follows a change
/// within 13 of them, and 3% of stragglers do not move it.
const SPEED_RUNS: usize = 25;

/// Least time between two sampled runs of a server, so that they span more than a second. Tasks
/// beside a run stay for up to a second; if all sampled runs had the same neighbours, their effect
/// would count as the server's speed.
const SPEED_INTERVAL: Duration = Duration::from_millis(50);

/// Least residuals of a server before its runs count.
const MIN_SPEED_RUNS: usize = 5;

/// Standard deviations from which on a residual has no influence: the choice for Tukey's biweight
/// that keeps 85% of the efficiency under normally distributed residuals. The more usual 4.685 lets
/// stragglers of 7 times the usual time count.
const BIWEIGHT_CUTOFF: f64 = 3.44;

/// Weight of the newest residual in the standard deviation of a kind.
const SCALE_WEIGHT: f64 = 0.01;

/// Standard deviation of log run time ratios before any run. Declared run times and run times are
/// each off by 40%.
const INITIAL_SCALE: f64 = 0.5;

/// Lower bound of the standard deviation, against division by zero where all runs are alike.
const MIN_SCALE: f64 = 0.01;

/// Standard deviation assumed for the effects before any run. An effect of 1 slows a task down by
/// 2.7 if a server is full of the other kind.
const PRIOR_DEVIATION: f64 = 1.0;

/// Least weighted number of runs of a kind for an estimate.
const MIN_RUNS: f64 = 100.0;

/// Share of a server for which slowdowns are stated: about what one of several kinds has of it.
const STATED_SHARE: f64 = 0.25;

/// A pair is separated from this slowdown at [`STATED_SHARE`] on. Less is not worth the narrower
/// choice of servers.
const MIN_SLOWDOWN: f64 = 1.1;

/// A pair is separated when its effect is this many standard errors above zero. The test is repeated
/// each second for each pair, so that 2 would give false pairs all the time.
const ERRORS_TO_SEPARATE: f64 = 4.0;

/// A separated pair stays so while its effect is this many standard errors above zero and at least
/// half of the least one. Separated kinds meet less often, so that the error grows.
const ERRORS_TO_KEEP: f64 = 2.0;

/// Interval of the estimates.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Largest effect that placement assumes, in the logarithm of the run time.
const MAX_LOG_SLOWDOWN: f64 = 1.4;

/// Weight of a run above which all sums are scaled down.
const MAX_GAIN: f64 = 1e9;

/// A task that has succeeded.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Kind of the task.
    pub kind: Kind,
    /// Number of the server that it ran on.
    pub server: u32,
    /// Run time divided by the estimate.
    pub ratio: f64,
    /// Mean shares of the server that tasks of each kind had beside it.
    pub shares: &'a [Share],
}

/// How much tasks of one kind slow those of another one down.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pair {
    /// Kind that is slowed down.
    pub victim: Kind,
    /// Kind that slows it down.
    pub neighbour: Kind,
    /// Effect on the logarithm of the run time beside a whole server of the neighbour's tasks, beyond
    /// the effect of any load.
    pub effect: f64,
    /// Standard error of `effect`.
    pub error: f64,
    /// Runs of the victim beside the neighbour, the older ones with less weight.
    pub runs: f64,
    /// Whether the two kinds are kept apart.
    pub is_separated: bool,
}

impl Pair {
    /// Returns the factor on the run time of the victim while the neighbour has a quarter of the
    /// server.
    pub fn slowdown(&self) -> f64 {
        (self.effect * STATED_SHARE).exp()
    }

    /// Returns the bounds of [`Pair::slowdown`] two standard errors below and above.
    pub fn slowdown_bounds(&self) -> (f64, f64) {
        let at = |errors: f64| ((self.effect + errors * self.error) * STATED_SHARE).exp();
        (at(-2.0), at(2.0))
    }
}

type Row = [f64; COEFFICIENTS];

/// Weighted sums of products of the regressors with each other, and with the explained value.
#[derive(Debug, Clone)]
struct Sums {
    products: [Row; COEFFICIENTS],
    explained: Row,
}

impl Sums {
    const ZERO: Self = Self {
        products: [[0.0; COEFFICIENTS]; COEFFICIENTS],
        explained: [0.0; COEFFICIENTS],
    };

    /// Adds `factor` times the other sums.
    fn add(&mut self, other: &Self, factor: f64) {
        for (own, other) in self.products.iter_mut().zip(&other.products) {
            for (own, other) in own.iter_mut().zip(other) {
                *own += other * factor;
            }
        }
        for (own, other) in self.explained.iter_mut().zip(&other.explained) {
            *own += other * factor;
        }
    }

    fn add_run(&mut self, regressors: &Row, explained: f64, weight: f64) {
        for (position, value) in regressors.iter().enumerate() {
            if *value == 0.0 {
                continue;
            }
            for (sum, other) in self.products[position].iter_mut().zip(regressors) {
                *sum += weight * value * other;
            }
            self.explained[position] += weight * value * explained;
        }
    }

    fn forget(&mut self, position: usize) {
        self.products[position] = [0.0; COEFFICIENTS];
        for row in &mut self.products {
            row[position] = 0.0;
        }
        self.explained[position] = 0.0;
    }

    /// Returns the coefficients of the regression and the diagonal of the inverse of the matrix.
    /// `ridge` is added to the diagonal, which draws unknown effects to zero.
    fn solve(&self, ridge: f64) -> Option<(Row, Row)> {
        // Cholesky factor of the matrix, row by row.
        let mut factor = [[0.0; COEFFICIENTS]; COEFFICIENTS];
        for row in 0..COEFFICIENTS {
            for column in 0..=row {
                let known: f64 = (0..column)
                    .map(|k| factor[row][k] * factor[column][k])
                    .sum();
                let rest = self.products[row][column] - known;
                if row == column {
                    let pivot = rest + ridge;
                    if pivot <= 0.0 {
                        return None;
                    }
                    factor[row][row] = pivot.sqrt();
                } else {
                    factor[row][column] = rest / factor[column][column];
                }
            }
        }
        let backward = |half: &Row| {
            let mut solution = [0.0; COEFFICIENTS];
            for row in (0..COEFFICIENTS).rev() {
                let known: f64 = (row + 1..COEFFICIENTS)
                    .map(|k| factor[k][row] * solution[k])
                    .sum();
                solution[row] = (half[row] - known) / factor[row][row];
            }
            solution
        };
        let forward = |right: &Row| {
            let mut half = [0.0; COEFFICIENTS];
            for row in 0..COEFFICIENTS {
                let known: f64 = (0..row).map(|k| factor[row][k] * half[k]).sum();
                half[row] = (right[row] - known) / factor[row][row];
            }
            half
        };
        let coefficients = backward(&forward(&self.explained));
        let mut variances = [0.0; COEFFICIENTS];
        for (position, variance) in variances.iter_mut().enumerate() {
            let mut unit = [0.0; COEFFICIENTS];
            unit[position] = 1.0;
            *variance = forward(&unit).iter().map(|value| value * value).sum();
        }
        Some((coefficients, variances))
    }
}

/// Regression for the tasks of one kind.
#[derive(Debug, Clone)]
struct Regression {
    groups: Vec<Sums>,
    /// Weighted number of runs beside each kind.
    runs_beside: [f64; MAX_KINDS],
    /// Weighted sum of the shares that each kind had beside the runs.
    shares_beside: [f64; MAX_KINDS],
    /// Weight of the next run. It grows, so that the sums need not shrink with each run.
    gain: f64,
    updated_at: Monotonic,
    coefficients: Row,
    /// Standard deviation of the residuals.
    scale: f64,
}

impl Regression {
    fn new(now: Monotonic) -> Self {
        Self {
            groups: vec![Sums::ZERO; GROUPS],
            runs_beside: [0.0; MAX_KINDS],
            shares_beside: [0.0; MAX_KINDS],
            gain: 1.0,
            updated_at: now,
            coefficients: [0.0; COEFFICIENTS],
            scale: INITIAL_SCALE,
        }
    }

    fn predict(&self, regressors: &Row) -> f64 {
        let terms = self.coefficients.iter().zip(regressors);
        terms.map(|(effect, value)| effect * value).sum()
    }

    /// Lets all earlier runs lose weight by the time since the last call.
    fn age(&mut self, now: Monotonic) {
        let age = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.gain *= age.min(20.0).exp2();
        if self.gain > MAX_GAIN {
            let factor = 1.0 / self.gain;
            for group in &mut self.groups {
                let sums = group.clone();
                *group = Sums::ZERO;
                group.add(&sums, factor);
            }
            for sum in self.runs_beside.iter_mut().chain(&mut self.shares_beside) {
                *sum *= factor;
            }
            self.gain = 1.0;
        }
    }

    /// Adds a run. `speed` is the speed of its server by the present coefficients.
    fn add_run(&mut self, group: usize, run: &Sample, speed: &OwnSpeed, now: Monotonic) {
        self.age(now);
        self.gain *= 1.0 + 1.0 / MEMORY_RUNS;
        let residual = run.observed - speed.residual - self.predict(&run.regressors);
        let distance = residual / (BIWEIGHT_CUTOFF * self.scale);
        let weight = (1.0 - distance * distance).max(0.0).powi(2);
        // A normally distributed residual has a mean size of 0.8 standard deviations.
        let size = residual.abs().min(3.0 * self.scale) / 0.8;
        self.scale = (self.scale + (size - self.scale) * SCALE_WEIGHT).max(MIN_SCALE);
        // What the present coefficients leave unexplained of the neighbours' effect is in the
        // speed as well. Both sides of the equation are therefore taken relative to the sampled
        // runs, which makes the result independent of the present coefficients.
        let mut regressors = run.regressors;
        let mut explained = run.observed - speed.residual;
        for slot in 0..MAX_KINDS {
            regressors[slot + 1] -= speed.shares[slot];
            explained -= speed.shares[slot] * self.coefficients[slot + 1];
        }
        self.groups[group].add_run(&regressors, explained, weight * self.gain);
        for (slot, share) in run.regressors[1..].iter().enumerate() {
            if *share > 0.0 {
                self.runs_beside[slot] += self.gain;
                self.shares_beside[slot] += self.gain * share;
            }
        }
    }

    fn forget(&mut self, slot: usize) {
        for group in &mut self.groups {
            group.forget(slot + 1);
        }
        self.runs_beside[slot] = 0.0;
        self.shares_beside[slot] = 0.0;
        self.coefficients[slot + 1] = 0.0;
    }

    /// Estimates the effects of all kinds beyond that of any load, with their standard errors.
    fn estimate(&mut self, now: Monotonic) -> Option<Effects> {
        self.age(now);
        let mut total = Sums::ZERO;
        for group in &self.groups {
            total.add(group, 1.0 / self.gain);
        }
        let runs = total.products[0][0];
        if runs < MIN_RUNS {
            return None;
        }
        let ridge = (self.scale / PRIOR_DEVIATION).powi(2);
        let (coefficients, variances) = total.solve(ridge)?;
        self.coefficients = coefficients;
        let (effects, reference) = beyond_load(&coefficients, &self.shares_beside);
        let mut replicates = 0.0;
        let mut squares = [0.0; MAX_KINDS];
        for group in &self.groups {
            let mut rest = total.clone();
            rest.add(group, -1.0 / self.gain);
            let Some((coefficients, _variances)) = rest.solve(ridge) else {
                continue;
            };
            let (left, _reference) = beyond_load(&coefficients, &self.shares_beside);
            replicates += 1.0;
            for (square, (left, whole)) in squares.iter_mut().zip(left.iter().zip(&effects)) {
                *square += (left - whole).powi(2);
            }
        }
        let variance = |slot: usize| self.scale * self.scale * variances[slot + 1];
        let reference_variance = reference.map_or(0.0, variance);
        let mut errors = [0.0; MAX_KINDS];
        for (slot, error) in errors.iter_mut().enumerate() {
            // Each replicate lacks one group: the usual factor of the jackknife.
            let jackknife = squares[slot] * (replicates - 1.0) / replicates.max(1.0);
            *error = jackknife.max(variance(slot) + reference_variance).sqrt();
        }
        Some(Effects { effects, errors })
    }
}

struct Effects {
    effects: [f64; MAX_KINDS],
    errors: [f64; MAX_KINDS],
}

/// Returns the effect of each kind less the effect of any load, and the kind that tells the latter:
/// the median kind by its weighted load, the lower one of two. If most of the load slows a task down
/// alike, no kind stands out.
fn beyond_load(coefficients: &Row, load: &[f64; MAX_KINDS]) -> ([f64; MAX_KINDS], Option<usize>) {
    let mut known: SmallVec<[(f64, f64, usize); MAX_KINDS]> = (0..MAX_KINDS)
        .filter(|slot| load[*slot] > 0.0)
        .map(|slot| (coefficients[slot + 1], load[slot], slot))
        .collect();
    known.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half: f64 = known.iter().map(|(_effect, load, _slot)| load).sum::<f64>() / 2.0;
    let mut passed = 0.0;
    let median = known.iter().find(|(_effect, load, _slot)| {
        passed += load;
        passed >= half
    });
    // The heavier one of two kinds would always be its own reference.
    let reference = if known.len() == 2 {
        known.first()
    } else {
        median
    };
    let Some(&(any_load, _load, slot)) = reference else {
        return ([0.0; MAX_KINDS], None);
    };
    let mut effects = [0.0; MAX_KINDS];
    for &(effect, _load, slot) in &known {
        effects[slot] = effect - any_load;
    }
    (effects, Some(slot))
}

/// A run that tells the speed of its server.
#[derive(Debug, Clone)]
struct Sample {
    /// Position of the task's kind.
    slot: usize,
    regressors: Row,
    /// Logarithm of run time divided by estimate.
    observed: f64,
}

/// Speed of a server, as the logarithm of the factor on its run times.
#[derive(Debug, Clone)]
struct OwnSpeed {
    residual: f64,
    /// Mean shares that each kind had beside the sampled runs of one kind of tasks, where the runs
    /// of other kinds count as zero.
    shares: [f64; MAX_KINDS],
}

/// Last sampled runs on one server.
#[derive(Debug, Clone, Default)]
struct Speed {
    samples: Vec<Sample>,
    next: usize,
    sampled_at: Monotonic,
}

impl Speed {
    /// Returns the speed as the median of the residuals by the present coefficients; `None` before
    /// there are enough runs.
    fn own_speed(&self, slots: &[Slot], victim: usize) -> Option<OwnSpeed> {
        if self.samples.len() < MIN_SPEED_RUNS {
            return None;
        }
        let residual = |sample: &Sample| {
            let regression = slots.get(sample.slot)?.regression.as_ref()?;
            Some(sample.observed - regression.predict(&sample.regressors))
        };
        let residuals = self.samples.iter().filter_map(residual);
        let mut sorted: SmallVec<[f64; SPEED_RUNS]> = residuals.collect();
        sorted.sort_by(f64::total_cmp);
        let mut shares = [0.0; MAX_KINDS];
        for sample in self.samples.iter().filter(|sample| sample.slot == victim) {
            for (sum, share) in shares.iter_mut().zip(&sample.regressors[1..]) {
                *sum += share / self.samples.len() as f64;
            }
        }
        Some(OwnSpeed {
            residual: *sorted.get(sorted.len() / 2)?,
            shares,
        })
    }

    fn add(&mut self, sample: Sample, now: Monotonic) {
        if !self.samples.is_empty() && now.since(self.sampled_at) < SPEED_INTERVAL {
            return;
        }
        if self.samples.len() < SPEED_RUNS {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
        }
        self.next = (self.next + 1) % SPEED_RUNS;
        self.sampled_at = now;
    }

    /// Forgets the effects of a kind that made room for another one, and the runs of its tasks.
    fn forget(&mut self, slot: usize) {
        self.samples.retain(|sample| sample.slot != slot);
        for sample in &mut self.samples {
            sample.regressors[slot + 1] = 0.0;
        }
        self.next = self.samples.len() % SPEED_RUNS;
    }
}

#[derive(Debug, Clone)]
struct Slot {
    kind: Kind,
    seen_at: Monotonic,
    /// `None` before a task of the kind has ended at this entry.
    regression: Option<Regression>,
}

/// What an entry has learnt about kinds of tasks that slow each other down.
#[derive(Debug, Clone, Default)]
pub struct Interference {
    slots: Vec<Slot>,
    speeds: HashMap<u32, Speed>,
    pairs: Vec<Pair>,
    /// Mean run time of the tasks of each kind in seconds.
    run_seconds: Vec<(Kind, f64)>,
    review_due: Monotonic,
}

impl Interference {
    /// Learns from a task that has succeeded.
    pub fn record(&mut self, run: &Observation<'_>, now: Monotonic) {
        if !run.ratio.is_finite() || run.ratio <= 0.0 {
            return;
        }
        let mut regressors = [0.0; COEFFICIENTS];
        regressors[0] = 1.0;
        let victim = self.slot_of(run.kind, now);
        for share in run.shares {
            let slot = self.slot_of(share.kind, now);
            regressors[slot + 1] += f64::from(share.per_mille) / 1_000.0;
        }
        if self.slots[victim].kind != run.kind {
            // The shares name more kinds than there is room for.
            return;
        }
        let observed = run.ratio.ln();
        if self.speeds.len() >= MAX_SERVERS && !self.speeds.contains_key(&run.server) {
            let oldest = self
                .speeds
                .iter()
                .min_by_key(|(_server, speed)| speed.sampled_at);
            if let Some(server) = oldest.map(|(server, _speed)| *server) {
                self.speeds.remove(&server);
            }
        }
        let speed = self.speeds.entry(run.server).or_default();
        let own = speed.own_speed(&self.slots, victim);
        let regression = self.slots[victim]
            .regression
            .get_or_insert_with(|| Regression::new(now));
        let sample = Sample {
            slot: victim,
            regressors,
            observed,
        };
        if let Some(own) = own {
            let span = now.0 / GROUP_SPAN.as_micros() as u64;
            let group = (u64::from(run.server) + span * 7) % GROUPS as u64;
            regression.add_run(group as usize, &sample, &own, now);
        }
        speed.add(sample, now);
    }

    /// Estimates all pairs if that is due. Returns the pairs that are separated from now on, and
    /// those that no longer are; `None` if no estimate is due.
    pub fn review(&mut self, now: Monotonic) -> Option<Vec<Pair>> {
        if now < self.review_due {
            return None;
        }
        self.review_due = now.plus(REVIEW_INTERVAL);
        let kinds: Vec<Kind> = self.slots.iter().map(|slot| slot.kind).collect();
        let mut pairs = Vec::new();
        let mut changed = Vec::new();
        for slot in &mut self.slots {
            let Some(regression) = &mut slot.regression else {
                continue;
            };
            let Some(Effects { effects, errors }) = regression.estimate(now) else {
                continue;
            };
            for (position, &neighbour) in kinds.iter().enumerate() {
                let was_separated = self.pairs.iter().any(|pair| {
                    pair.victim == slot.kind && pair.neighbour == neighbour && pair.is_separated
                });
                let (effect, error) = (effects[position], errors[position]);
                let (least_errors, least_slowdown) = if was_separated {
                    (ERRORS_TO_KEEP, MIN_SLOWDOWN.sqrt())
                } else {
                    (ERRORS_TO_SEPARATE, MIN_SLOWDOWN)
                };
                let pair = Pair {
                    victim: slot.kind,
                    neighbour,
                    effect,
                    error,
                    runs: regression.runs_beside[position] / regression.gain,
                    is_separated: neighbour != Kind::OTHER
                        && effect > least_errors * error
                        && effect * STATED_SHARE >= least_slowdown.ln(),
                };
                if pair.is_separated != was_separated {
                    changed.push(pair);
                }
                pairs.push(pair);
            }
        }
        self.pairs = pairs;
        Some(changed)
    }

    /// Returns the estimates of the last review.
    pub fn pairs(&self) -> &[Pair] {
        &self.pairs
    }

    /// Sets the mean run time of the tasks of each kind in seconds.
    pub fn set_run_seconds(&mut self, run_seconds: Vec<(Kind, f64)>) {
        self.run_seconds = run_seconds;
    }

    /// Returns whether tasks of the kind are kept apart from any other.
    pub fn concerns(&self, kind: Kind) -> bool {
        self.separated()
            .any(|pair| pair.victim == kind || pair.neighbour == kind)
    }

    /// Returns by how much the task's run is expected to grow in seconds if it runs beside the tasks
    /// that are present, plus by how much theirs grow.
    pub fn extra_seconds(&self, task: &Newcomer, present: &[Presence]) -> f64 {
        let capacity = f64::from(task.server_cpu.max(1));
        let (mut own, mut others) = (0.0, 0.0);
        for pair in self.separated() {
            if pair.victim == task.kind {
                let beside = present.iter().filter(|group| group.kind == pair.neighbour);
                let cpu: f64 = beside.map(|group| f64::from(group.cpu_millicores)).sum();
                own += pair.effect * cpu / capacity;
            }
            if pair.neighbour == task.kind {
                let share = f64::from(task.cpu_millicores) / capacity;
                let growth = (pair.effect * share).min(MAX_LOG_SLOWDOWN).exp_m1();
                let beside = present.iter().filter(|group| group.kind == pair.victim);
                let tasks: f64 = beside.map(|group| f64::from(group.tasks)).sum();
                // Tasks that are met at any time have half of their run left.
                let left = self.run_seconds_of(pair.victim) / 2.0;
                others += tasks * left.min(task.run_seconds) * growth;
            }
        }
        task.run_seconds * own.min(MAX_LOG_SLOWDOWN).exp_m1() + others
    }

    fn separated(&self) -> impl Iterator<Item = &Pair> {
        self.pairs.iter().filter(|pair| pair.is_separated)
    }

    fn run_seconds_of(&self, kind: Kind) -> f64 {
        let known = self.run_seconds.iter().find(|(known, _)| *known == kind);
        known.map_or(0.0, |(_kind, seconds)| *seconds)
    }

    /// Returns the position of a kind. The kind that was seen longest ago makes room if there are
    /// too many.
    fn slot_of(&mut self, kind: Kind, now: Monotonic) -> usize {
        let known = self.slots.iter().position(|slot| slot.kind == kind);
        let position = known.unwrap_or_else(|| self.take_slot(kind, now));
        self.slots[position].seen_at = now;
        position
    }

    fn take_slot(&mut self, kind: Kind, now: Monotonic) -> usize {
        let slot = Slot {
            kind,
            seen_at: now,
            regression: None,
        };
        if self.slots.len() < MAX_KINDS {
            self.slots.push(slot);
            return self.slots.len() - 1;
        }
        let oldest = (0..MAX_KINDS).min_by_key(|position| self.slots[*position].seen_at);
        let position = oldest.unwrap_or(0);
        self.slots[position] = slot;
        for slot in &mut self.slots {
            if let Some(regression) = &mut slot.regression {
                regression.forget(position);
            }
        }
        for speed in self.speeds.values_mut() {
            speed.forget(position);
        }
        position
    }
}

/// A task to be placed on a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Newcomer {
    /// Kind of the task.
    pub kind: Kind,
    /// Expected run time on this server in seconds.
    pub run_seconds: f64,
    /// CPU of the task in thousandths of a core.
    pub cpu_millicores: u32,
    /// CPU of the server in thousandths of a core.
    pub server_cpu: u32,
}
