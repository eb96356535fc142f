/** Runs one design through one scenario at one size, and measures it. */
import { encodedSize } from '../../src/wire/codec.js';
import type { PeerMessage } from '../../src/wire/message.js';
import {
  factoryOf,
  SCENARIOS,
  sitesOf,
  type DesignName,
  type FleetSize,
  type Scenario,
  type ScenarioName,
} from './comparison-plan.js';
import { ConvergenceTracker, type TimeSamples } from './convergence-tracker.js';
import { Emulator } from './emulator.js';
import { FleetConfiguration } from './fleet-configuration.js';
import type { EmulatedMachine } from './machine-registry.js';
import { seededRandom } from './seeded-random.js';
import { isInGroup } from './topology.js';
import { PACKET_OVERHEAD_BYTES } from './traffic-meter.js';

const SEED = 20_260_101;
const CONFIGURATION_STREAM = 5;
const CHOICE_STREAM = 6;
/** Time for a fleet to start before it is measured. */
const WARM_UP_MS = 120_000;
/** Step in which the time after a heal or a herd's return is measured. */
const RECOVERY_STEP_MS = 50;
/** Longest recovery that is looked for. */
const RECOVERY_LIMIT_MS = 120_000;

/** Quantiles of times, in milliseconds. */
export interface TimeSummary {
  readonly samples: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Bytes and messages of a node in a second, sent plus received, without TCP/IP. */
export interface TrafficSummary {
  readonly meanBytes: number;
  readonly maxBytes: number;
  /** Bytes sent alone, mean. */
  readonly meanSentBytes: number;
  readonly meanMessages: number;
  /** `meanBytes` with the TCP/IP headers assumed for each message. */
  readonly meanBytesWithHeaders: number;
}

/** What was measured. */
export interface ComparisonResult {
  readonly size: string;
  readonly nodes: number;
  readonly design: DesignName;
  readonly scenario: ScenarioName;
  readonly pollIntervalMs: number | undefined;
  readonly sincePublication: TimeSummary;
  readonly sinceAcceptance: TimeSummary;
  /** Nodes that should have had a publication and never had, summed. */
  readonly missing: number;
  /** From the heal or the herd's start until every node holds the newest; null where neither was. */
  readonly recoveryMs: number | null;
  readonly traffic: TrafficSummary;
  readonly peakReaders: number;
  readonly changes: number;
  readonly realSeconds: number;
  /** Most sent bytes by message type, of the whole fleet. */
  readonly byType: readonly { readonly type: string; readonly bytes: number }[];
}

/** One run. `pollIntervalMs` is for the polling designs. */
export function compareOne(
  design: DesignName,
  size: FleetSize,
  scenario: ScenarioName,
  pollIntervalMs: number,
): ComparisonResult {
  const startedAt = performance.now();
  const run = new ComparisonRun(design, size, SCENARIOS[scenario], pollIntervalMs);
  run.execute();
  const isPolling = design.startsWith('polling');
  return {
    size: size.name,
    nodes: size.nodes,
    design,
    scenario,
    pollIntervalMs: isPolling ? Math.round(pollIntervalMs) : undefined,
    ...run.measured(),
    realSeconds: Math.round((performance.now() - startedAt) / 100) / 10,
  };
}

class ComparisonRun {
  private readonly emulator: Emulator;
  private readonly tracker: ConvergenceTracker;
  private readonly configuration: FleetConfiguration;
  private readonly choose = seededRandom(SEED, CHOICE_STREAM);
  private measuredFromMs = 0;
  private changes = 0;
  private isCut = false;
  private recoveryMs: number | null = null;

  constructor(
    design: DesignName,
    private readonly size: FleetSize,
    private readonly scenario: Scenario,
    pollIntervalMs: number,
  ) {
    this.emulator = new Emulator({
      seed: SEED,
      sites: sitesOf(size),
      factory: factoryOf(design, size, pollIntervalMs),
      sizer: messageSizer(),
      platform: { readerBound: Infinity },
    });
    this.tracker = new ConvergenceTracker(this.emulator);
    const random = seededRandom(SEED, CONFIGURATION_STREAM);
    this.configuration = new FleetConfiguration(size.configuration, random);
  }

  execute(): void {
    const { emulator, scenario } = this;
    this.publish();
    emulator.machines.all.forEach((machine) => emulator.start(machine));
    emulator.advance(WARM_UP_MS);
    emulator.meter.reset();
    emulator.platform.peakReaders = 0;
    this.measuredFromMs = emulator.nowMs;
    this.scheduleChanges();
    this.scheduleHerd();
    this.scheduleCut();
    emulator.advance(scenario.durationMs);
  }

  measured(): Pick<
    ComparisonResult,
    | 'sincePublication'
    | 'sinceAcceptance'
    | 'missing'
    | 'recoveryMs'
    | 'traffic'
    | 'peakReaders'
    | 'changes'
    | 'byType'
  > {
    return {
      sincePublication: summarize(this.tracker.fromPublication()),
      sinceAcceptance: summarize(this.tracker.fromAcceptance()),
      missing: this.tracker.missing(),
      recoveryMs: this.recoveryMs,
      traffic: this.traffic(),
      peakReaders: this.emulator.platform.peakReaders,
      changes: this.changes,
      byType: this.emulator.meter.byType().map(({ type, bytes }) => ({ type, bytes })),
    };
  }

  private publish(): void {
    const { configuration, emulator } = this;
    emulator.platform.publishSource(configuration.version, configuration.resources());
  }

  private scheduleChanges(): void {
    const { changeIntervalMs, durationMs } = this.scenario;
    const last = durationMs - changeIntervalMs / 2;
    for (let afterMs = changeIntervalMs / 2; afterMs <= last; afterMs += changeIntervalMs) {
      this.after(afterMs + this.choose() * 1_000, () => this.change());
    }
  }

  private change(): void {
    this.changes += 1;
    this.configuration.changeOneEndpoint();
    this.publish();
    const { cutGroup } = this.size;
    this.tracker.published(
      this.configuration.version,
      ({ site }) => !this.isCut || !isInGroup(site, cutGroup),
    );
  }

  private scheduleHerd(): void {
    const { herd } = this.scenario;
    if (herd === undefined) {
      return;
    }
    const machines = this.herdMachines();
    this.after(herd.atMs, () => {
      for (const machine of machines) {
        if (machine.process !== undefined) {
          this.tracker.forget(machine.process);
        }
        this.emulator.kill(machine, false);
      }
    });
    this.after(herd.atMs + herd.downMs, () => {
      machines.forEach((machine) => this.emulator.start(machine));
      this.measureRecovery();
    });
  }

  /** Any machines but the first of each zone: the push design has its readers there. */
  private herdMachines(): EmulatedMachine[] {
    const candidates = this.emulator.machines.all.slice(this.size.zones);
    const keyed = candidates.map((machine) => ({ machine, key: this.choose() }));
    keyed.sort((left, right) => left.key - right.key);
    return keyed.slice(0, this.size.herd).map(({ machine }) => machine);
  }

  private scheduleCut(): void {
    const { cut } = this.scenario;
    if (cut === undefined) {
      return;
    }
    this.after(cut.atMs, () => {
      this.isCut = true;
      const group = this.size.cutGroup;
      this.emulator.topology.addCut({ group, direction: 'both', withPlatform: true });
    });
    this.after(cut.healAtMs, () => {
      this.isCut = false;
      this.emulator.heal();
      this.measureRecovery();
    });
  }

  private measureRecovery(): void {
    const fromMs = this.emulator.nowMs;
    const target = this.configuration.version;
    const look = (): void => {
      const elapsedMs = this.emulator.nowMs - fromMs;
      if (this.tracker.hasEverywhere(target)) {
        this.recoveryMs = elapsedMs;
      } else if (elapsedMs < RECOVERY_LIMIT_MS) {
        this.emulator.scheduler.schedule(this.emulator.nowMs + RECOVERY_STEP_MS, { run: look });
      }
    };
    look();
  }

  private after(delayMs: number, run: () => void): void {
    this.emulator.scheduler.schedule(this.measuredFromMs + delayMs, { run });
  }

  private traffic(): TrafficSummary {
    const seconds = (this.emulator.nowMs - this.measuredFromMs) / 1_000;
    const sites = this.emulator.machines.all.map(({ site }) =>
      this.emulator.meter.site(site.index),
    );
    const bytes = sites.map((site) => (site.sentBytes + site.receivedBytes) / seconds);
    const sent = sites.map((site) => site.sentBytes / seconds);
    const messages = sites.map((site) => (site.sentMessages + site.receivedMessages) / seconds);
    return {
      meanBytes: round(mean(bytes)),
      maxBytes: round(Math.max(...bytes)),
      meanSentBytes: round(mean(sent)),
      meanMessages: round(mean(messages)),
      meanBytesWithHeaders: round(mean(bytes) + mean(messages) * PACKET_OVERHEAD_BYTES),
    };
  }
}

/** Encoded sizes; heartbeats all have one size, and there are millions of them. */
function messageSizer(): (message: PeerMessage) => number {
  let heartbeatBytes: number | undefined;
  return (message) => {
    if (message.type !== 'heartbeat') {
      return encodedSize(message);
    }
    heartbeatBytes ??= encodedSize(message);
    return heartbeatBytes;
  };
}

function summarize(samples: TimeSamples): TimeSummary {
  return {
    samples: samples.count,
    p50Ms: Math.round(samples.quantile(0.5)),
    p99Ms: Math.round(samples.quantile(0.99)),
    maxMs: Math.round(samples.quantile(1)),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
