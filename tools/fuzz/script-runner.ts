/** Interprets a fuzzing script on an emulated fleet, with the oracle watching every event. */
import { DEFAULT_NETWORK } from '../emulator/emulated-network.js';
import type { ComponentFactory } from '../emulator/emulated-process.js';
import { Emulator, type ClockSpread } from '../emulator/emulator.js';
import type { EmulatedMachine } from '../emulator/machine-registry.js';
import { evenSites, isInGroup, type SiteGroup } from '../emulator/topology.js';
import type { MessageSizer } from '../emulator/traffic-meter.js';
import { NO_VERSION, type DocumentVersion } from '../../src/model/version.js';
import {
  FUZZ_MACHINES,
  FUZZ_REGIONS,
  FUZZ_ZONES,
  type FuzzAction,
  type FuzzCommand,
  type GroupChoice,
} from './fuzz-command.js';
import { publishedResources, validResources } from './fuzz-configuration.js';
import { InvariantOracle, type ExpectedVersions } from './invariant-oracle.js';

/** After healing, every node holds the newest version within this virtual time. */
export const CONVERGENCE_BOUND_MS = 45_000;
/** Steps in which convergence is looked for. */
const CONVERGENCE_STEP_MS = 1_000;
/** Time from the start of a fleet to the first command of its script. */
const WARM_UP_MS = 30_000;
/** Time that a leaving process has before it ends. */
const LEAVE_GRACE_MS = 5_000;
/** Two clocks differ by less than the part by which lease holders stop early. */
const CLOCKS: ClockSpread = { maxStartMs: 100_000, maxDrift: 0.02 };
const DUPLICATE_CHANCE = 0.2;
const REORDER_CHANCE = 0.2;

/** What is fuzzed. */
export interface FuzzTarget {
  readonly factory: ComponentFactory;
  readonly sizer: MessageSizer;
  /** Whether scripts contain operators' writes. */
  readonly withWrites?: boolean;
  /** The source's bound on readers at once. */
  readonly readerBound: number;
}

/** What a script that broke nothing did. */
export interface ScriptResult {
  readonly commands: number;
  readonly eventsChecked: number;
  /** Operators' writes that were accepted. */
  readonly acceptedWrites: number;
  /** Virtual time from the heal, and from a publication after it, until all nodes agreed. */
  readonly healedAfterMs: number;
  readonly publishedAfterMs: number;
}

/** Runs one script; throws `InvariantViolationError` at the first break of an invariant. */
export function runScript(
  target: FuzzTarget,
  seed: number,
  script: readonly FuzzCommand[],
): ScriptResult {
  const run = new ScriptRun(target, seed);
  run.begin();
  script.forEach((command) => run.step(command));
  return run.finish(script.length);
}

class ScriptRun {
  private readonly emulator: Emulator;
  private readonly oracle: InvariantOracle;
  /** Number of the newest publication, and the highest ever. */
  private currentNumber = 0;
  private highestNumber = 0;

  constructor(target: FuzzTarget, seed: number) {
    this.emulator = new Emulator({
      seed,
      sites: evenSites(FUZZ_MACHINES, FUZZ_ZONES, FUZZ_REGIONS),
      factory: target.factory,
      sizer: target.sizer,
      platform: { readerBound: target.readerBound },
      clocks: CLOCKS,
    });
    this.oracle = new InvariantOracle(this.emulator);
    this.emulator.onHandled = (process, _event, effects) =>
      this.oracle.afterEvent(process, effects);
  }

  begin(): void {
    this.publish(1, validResources(0));
    this.startAll();
    this.emulator.advance(WARM_UP_MS);
    this.oracle.checkReaders();
  }

  step({ afterMs, action }: FuzzCommand): void {
    this.emulator.advance(afterMs);
    this.apply(action);
    this.oracle.checkReaders();
  }

  finish(commands: number): ScriptResult {
    const newest = {
      source: this.oracle.newestHeld('source'),
      operator: this.oracle.newestHeld('operator'),
    };
    const healedAtMs = this.emulator.nowMs;
    this.undoFaults();
    const expected = { ...newest, source: this.expectedAfterHeal(newest.source) };
    const healedAfterMs = this.converge(expected, healedAtMs);
    this.publish(this.highestNumber + 1, validResources(this.highestNumber + 1));
    const source = this.emulator.platform.servedSourceVersion() ?? newest.source;
    const publishedAfterMs = this.converge({ ...newest, source }, this.emulator.nowMs);
    return {
      commands,
      eventsChecked: this.oracle.eventsChecked,
      acceptedWrites: this.oracle.writes.accepted,
      healedAfterMs,
      publishedAfterMs,
    };
  }

  /**
   * What every node must hold after healing: what was held, or anything under the number that the
   * source serves, if that is higher. Of a split publication either document may come first.
   */
  private expectedAfterHeal(newestHeld: DocumentVersion): DocumentVersion {
    const served = this.emulator.platform.servedSourceVersion();
    return served !== undefined && served.number > newestHeld.number
      ? { ...NO_VERSION, number: served.number }
      : newestHeld;
  }

  private apply(action: FuzzAction): void {
    const { emulator } = this;
    switch (action.type) {
      case 'publish':
        this.publishNext(action.publication, action.content);
        return;
      case 'platform-mode':
        emulator.platform.mode = action.mode;
        return;
      case 'stale':
        emulator.platform.staleBy = action.by;
        return;
      case 'source-from-zero':
        emulator.platform.forgetSource();
        this.publish(1, validResources(action.content));
        return;
      case 'stress':
        emulator.network.options = {
          ...DEFAULT_NETWORK,
          duplicateChance: action.duplicate ? DUPLICATE_CHANCE : 0,
          reorderChance: action.reorder ? REORDER_CHANCE : 0,
        };
        return;
      case 'list-lag':
        emulator.machines.listLagMs = action.lagMs;
        return;
      case 'operator-write':
        this.write(action);
        return;
      case 'nothing':
        return;
      default:
        this.applyToMachines(action);
    }
  }

  private applyToMachines(
    action: Extract<
      FuzzAction,
      { type: 'kill' | 'start' | 'start-all' | 'cut' | 'heal' | 'freeze' | 'thaw-all' | 'leave' }
    >,
  ): void {
    const { emulator } = this;
    switch (action.type) {
      case 'kill':
        this.each(action.group, (machine) => emulator.kill(machine, action.machineGone));
        return;
      case 'start':
        this.each(action.group, (machine) => emulator.start(machine));
        return;
      case 'start-all':
        this.startAll();
        return;
      case 'freeze':
        this.each(action.group, (machine) => emulator.freeze(machine));
        return;
      case 'thaw-all':
        emulator.machines.all.forEach((machine) => emulator.thaw(machine));
        return;
      case 'cut':
        emulator.topology.addCut({
          group: groupOf(action.group),
          direction: action.direction,
          withPlatform: action.withPlatform,
        });
        return;
      case 'heal':
        emulator.heal();
        return;
      case 'leave': {
        const machine = emulator.machines.all[action.machine];
        if (machine !== undefined) {
          emulator.leave(machine, LEAVE_GRACE_MS);
        }
      }
    }
  }

  private write(action: Extract<FuzzAction, { type: 'operator-write' }>): void {
    const process = this.emulator.machines.all[action.machine]?.process;
    if (process !== undefined) {
      const { write, onOutcome } = this.oracle.writes.submit(action);
      this.emulator.deliver(process, { type: 'operator-write', write, onOutcome });
    }
  }

  private undoFaults(): void {
    const { emulator } = this;
    emulator.heal();
    emulator.network.options = DEFAULT_NETWORK;
    emulator.platform.mode = 'up';
    emulator.platform.staleBy = 0;
    emulator.machines.listLagMs = 0;
    emulator.machines.all.forEach((machine) => emulator.thaw(machine));
    emulator.advance(LEAVE_GRACE_MS);
    this.startAll();
  }

  /** Lets time pass until the fleet agrees; returns how long it took since `startedMs`. */
  private converge(expected: ExpectedVersions, startedMs: number): number {
    let divergence = this.oracle.findDivergence(expected);
    while (divergence !== undefined) {
      const elapsedMs = this.emulator.nowMs - startedMs;
      if (elapsedMs >= CONVERGENCE_BOUND_MS) {
        this.oracle.fail(divergence.invariant, divergence.detail);
      }
      this.emulator.advance(CONVERGENCE_STEP_MS);
      this.oracle.checkReaders();
      divergence = this.oracle.findDivergence(expected);
    }
    return this.emulator.nowMs - startedMs;
  }

  private publishNext(
    publication: Extract<FuzzAction, { type: 'publish' }>['publication'],
    content: number,
  ): void {
    const resources = publishedResources(publication, content);
    switch (publication) {
      case 'same-number':
        this.publish(this.currentNumber, resources);
        return;
      case 'split':
        this.publish(this.currentNumber + 1, resources);
        this.emulator.platform.splitSource(validResources(content + 1));
        return;
      case 'lower-number':
        this.publish(Math.max(1, this.currentNumber - 2), resources);
        return;
      case 'skip-numbers':
        this.publish(this.currentNumber + 10, resources);
        return;
      default:
        this.publish(this.currentNumber + 1, resources);
    }
  }

  private publish(number: number, resources: readonly unknown[]): void {
    this.emulator.platform.publishSource(number, resources);
    this.currentNumber = number;
    this.highestNumber = Math.max(this.highestNumber, number);
  }

  private startAll(): void {
    this.emulator.machines.all.forEach((machine) => this.emulator.start(machine));
  }

  private each(choice: GroupChoice, act: (machine: EmulatedMachine) => void): void {
    const chosen = groupOf(choice);
    this.emulator.machines.all.filter(({ site }) => isInGroup(site, chosen)).forEach(act);
  }
}

function groupOf(choice: GroupChoice): SiteGroup {
  const name = choice.by === 'id' ? `machine-${choice.index}` : `${choice.by}-${choice.index}`;
  return { by: choice.by, names: [name] };
}
