/** A bounded number of random scripts under one seed, shrunk when one breaks an invariant. */
import fc from 'fast-check';
import { fuzzScripts, type FuzzCommand } from './fuzz-command.js';
import { InvariantViolationError, type Violation } from './invariant-oracle.js';
import { runScript, type FuzzTarget, type ScriptResult } from './script-runner.js';

/** How much is fuzzed. */
export interface FuzzRunOptions {
  readonly seed: number;
  readonly runs: number;
  /** Commands in one script at most. */
  readonly maxCommands: number;
  /** Called after each script that broke nothing. */
  readonly onScript?: (result: ScriptResult) => void;
  /** Shrinking stops after this real time; the best script so far is reported. */
  readonly shrinkLimitMs?: number;
}

/** A script that breaks an invariant, as short as shrinking made it. */
export interface FuzzFailure {
  readonly violation: Violation;
  /** Seed of the emulated world, to replay the script with. */
  readonly worldSeed: number;
  readonly script: readonly FuzzCommand[];
}

/** What a run found. */
export interface FuzzReport {
  readonly scripts: number;
  readonly commands: number;
  readonly eventsChecked: number;
  /** Operators' writes that were accepted. */
  readonly acceptedWrites: number;
  /** Slowest convergence seen, in milliseconds of virtual time. */
  readonly slowestHealMs: number;
  readonly slowestPublicationMs: number;
  readonly failure: FuzzFailure | undefined;
}

const DEFAULT_SHRINK_LIMIT_MS = 60_000;

/** Runs scripts until one breaks an invariant or `runs` have passed. */
export function fuzz(target: FuzzTarget, options: FuzzRunOptions): FuzzReport {
  const run = new FuzzRun(target, options);
  const property = fc.property(
    fc.noShrink(fc.integer()),
    fuzzScripts(options.maxCommands, target.withWrites === true),
    (worldSeed, script) => run.runOne(worldSeed, script),
  );
  const details = fc.check(property, { seed: options.seed, numRuns: options.runs });
  if (details.failed && !(details.errorInstance instanceof InvariantViolationError)) {
    throw details.errorInstance;
  }
  return run.report();
}

class FuzzRun {
  private scripts = 0;
  private commands = 0;
  private eventsChecked = 0;
  private acceptedWrites = 0;
  private slowestHealMs = 0;
  private slowestPublicationMs = 0;
  private failure: FuzzFailure | undefined;
  private shrinkUntilMs = Infinity;

  constructor(
    private readonly target: FuzzTarget,
    private readonly options: FuzzRunOptions,
  ) {}

  runOne(worldSeed: number, script: readonly FuzzCommand[]): void {
    if (performance.now() > this.shrinkUntilMs) {
      return;
    }
    try {
      this.count(runScript(this.target, worldSeed, script));
    } catch (error) {
      if (!(error instanceof InvariantViolationError)) {
        throw error;
      }
      if (this.isShrunkFurther(error.violation)) {
        this.noteFailure({ violation: error.violation, worldSeed, script });
        throw error;
      }
    }
  }

  report(): FuzzReport {
    return {
      scripts: this.scripts,
      commands: this.commands,
      eventsChecked: this.eventsChecked,
      acceptedWrites: this.acceptedWrites,
      slowestHealMs: this.slowestHealMs,
      slowestPublicationMs: this.slowestPublicationMs,
      failure: this.failure,
    };
  }

  private count(result: ScriptResult): void {
    if (this.failure !== undefined) {
      return;
    }
    this.scripts += 1;
    this.commands += result.commands;
    this.eventsChecked += result.eventsChecked;
    this.acceptedWrites += result.acceptedWrites;
    this.slowestHealMs = Math.max(this.slowestHealMs, result.healedAfterMs);
    this.slowestPublicationMs = Math.max(this.slowestPublicationMs, result.publishedAfterMs);
    this.options.onScript?.(result);
  }

  /** Shrinking keeps to the invariant that broke first: a shorter script may break another one. */
  private isShrunkFurther(violation: Violation): boolean {
    const first = this.failure?.violation.invariant;
    return first === undefined || first === violation.invariant;
  }

  /** Shrinking goes on from each failing script, so the last one is the shortest. */
  private noteFailure(failure: FuzzFailure): void {
    if (this.failure === undefined) {
      this.shrinkUntilMs =
        performance.now() + (this.options.shrinkLimitMs ?? DEFAULT_SHRINK_LIMIT_MS);
    }
    this.failure = failure;
  }
}
