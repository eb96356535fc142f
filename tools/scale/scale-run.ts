/** One scale run: the phases in order, each measured between two samples of the fleet. */
import { setTimeout as delay } from 'node:timers/promises';
import { ConvergenceLog, type Publication } from './convergence.js';
import { phaseFigures, type FleetSample } from './fleet-sample.js';
import { PHASE_TIMES, restartsFor } from './phase-plan.js';
import type { ScaleConfiguration } from './scale-configuration.js';
import type { ScaleFleet } from './scale-fleet.js';
import { CUT_REGION, DYING_ZONE, REAL_INDICES } from './scale-plan.js';
import { PHASE_NAMES, type PhaseName, type PhaseReport } from './scale-report.js';

const LOOK_INTERVAL_MS = 250;
/** Hollow nodes started together in a ramp. */
const RAMP_GROUP = 100;

/** What a run needs. */
export interface ScaleRunOptions {
  readonly fleet: ScaleFleet;
  readonly configuration: ScaleConfiguration;
  readonly random: () => number;
  readonly progress: (text: string) => void;
  /** Called after the quiet phase, which is measured without calls. */
  readonly startCallers: () => void;
  /** Whether nodes start in groups, in place of the cold start of all. */
  readonly isRamped: boolean;
}

/** Runs the phases; the caller starts and ends the fleet. */
export class ScaleRun {
  readonly phases: PhaseReport[] = [];
  peakResidentBytes = 0;
  /** After the settling time, with garbage collected. */
  settled: FleetSample | undefined;
  private readonly log = new ConvergenceLog();
  private readonly hollow: readonly number[];
  private readonly running = new Set<number>();
  private readonly startedAt = new Map<number, number>();

  constructor(private readonly options: ScaleRunOptions) {
    const { machines } = options.fleet;
    this.hollow = machines
      .map((_, index) => index)
      .filter((index) => !REAL_INDICES.includes(index));
  }

  /** Runs the phases up to and with `last`. */
  async execute(last: PhaseName): Promise<void> {
    const steps: Readonly<Record<PhaseName, () => Promise<void>>> = {
      'cold-start': () => this.coldStart(),
      quiet: () => this.quiet(),
      changes: () => this.changes(),
      restarts: () => this.restarts(),
      'zone-dies': () => this.zoneDies(),
      'zone-returns': () => this.zoneReturns(),
      'region-cut': () => this.regionCut(),
      'region-heals': () => this.regionHeals(),
    };
    for (const name of PHASE_NAMES.slice(0, PHASE_NAMES.indexOf(last) + 1)) {
      await steps[name]();
    }
  }

  private async coldStart(): Promise<void> {
    const { fleet, configuration } = this.options;
    await fleet.publish(configuration);
    if (this.options.isRamped) {
      await this.ramp();
      return;
    }
    const before = await this.sample(false);
    await Promise.all([fleet.startRealNodes(), this.start(this.hollow)]);
    const recoveryMs = await this.waitUntilAllHold(PHASE_TIMES.coldStartLimitMs);
    await this.close('cold-start', before, {
      publications: this.startsAsPublications(this.hollow),
      recoveryMs,
      events: this.hollow.length,
    });
  }

  /** Starts the nodes in groups, where this machine can not bear all at once; not measured. */
  private async ramp(): Promise<void> {
    await this.options.fleet.startRealNodes();
    for (let begin = 0; begin < this.hollow.length; begin += RAMP_GROUP) {
      await this.start(this.hollow.slice(begin, begin + RAMP_GROUP));
      const tookMs = await this.waitUntilAllHold(PHASE_TIMES.rampStepLimitMs);
      this.options.progress(`ramp: ${this.running.size} nodes, ${tookMs ?? 'too many'} ms`);
    }
  }

  private async quiet(): Promise<void> {
    await delay(PHASE_TIMES.settleMs);
    this.settled = await this.sample(true);
    const before = await this.sample(false);
    await delay(PHASE_TIMES.quietMs);
    await this.close('quiet', before, {});
  }

  private async changes(): Promise<void> {
    this.options.startCallers();
    const before = await this.sample(false);
    const publications = await this.publishFor(PHASE_TIMES.changesMs);
    await this.close('changes', before, { publications, events: publications.length });
  }

  /** One half are planned stops, the other half deaths. */
  private async restarts(): Promise<void> {
    const before = await this.sample(false);
    const chosen = this.choose(restartsFor(this.hollow.length));
    const gapMs = PHASE_TIMES.restartsMs / chosen.length - PHASE_TIMES.restartDownMs;
    for (const [position, index] of chosen.entries()) {
      await this.stop([index], position % 2 === 0);
      await delay(PHASE_TIMES.restartDownMs);
      await this.start([index]);
      await delay(Math.max(0, gapMs));
    }
    await this.waitUntilAllHold(PHASE_TIMES.recoveryLimitMs);
    const publications = this.startsAsPublications(chosen);
    await this.close('restarts', before, { publications, events: chosen.length });
  }

  /** The zone falls silent first, as machines without power do. */
  private async zoneDies(): Promise<void> {
    const { fleet } = this.options;
    const before = await this.sample(false);
    const zone = this.inGroup('zone', DYING_ZONE);
    zone.forEach((index) => this.running.delete(index));
    await fleet.setCut({ by: 'zone', name: DYING_ZONE, withPlatform: true });
    const silent = await this.publishFor(PHASE_TIMES.zoneSilentMs);
    await this.stop(zone, false);
    await fleet.setCut(undefined);
    const dead = await this.publishFor(PHASE_TIMES.zoneDownMs);
    const publications = [...silent, ...dead];
    await this.close('zone-dies', before, { publications, events: zone.length });
  }

  private async zoneReturns(): Promise<void> {
    const before = await this.sample(false);
    const zone = this.inGroup('zone', DYING_ZONE);
    await this.start(zone);
    const recoveryMs = await this.waitUntilAllHold(PHASE_TIMES.recoveryLimitMs);
    const publications = this.startsAsPublications(zone);
    await delay(PHASE_TIMES.afterRecoveryMs);
    await this.close('zone-returns', before, { publications, recoveryMs, events: zone.length });
  }

  private async regionCut(): Promise<void> {
    const { fleet } = this.options;
    const before = await this.sample(false);
    const region = this.inGroup('region', CUT_REGION);
    region.forEach((index) => this.running.delete(index));
    await fleet.setCut({ by: 'region', name: CUT_REGION, withPlatform: true });
    const publications = await this.publishFor(PHASE_TIMES.regionCutMs);
    await this.close('region-cut', before, { publications, events: publications.length });
  }

  private async regionHeals(): Promise<void> {
    const before = await this.sample(false);
    await this.options.fleet.setCut(undefined);
    const region = this.inGroup('region', CUT_REGION);
    region.forEach((index) => this.running.add(index));
    const { version } = this.options.configuration;
    const heal: Publication = { version, at: Date.now(), expected: new Set(region) };
    const recoveryMs = await this.waitUntilAllHold(PHASE_TIMES.recoveryLimitMs);
    await delay(PHASE_TIMES.afterRecoveryMs);
    await this.close('region-heals', before, {
      publications: [heal],
      recoveryMs,
      events: region.length,
    });
  }

  /** Changes at even intervals, and time for the last to arrive. */
  private async publishFor(durationMs: number): Promise<Publication[]> {
    const { fleet, configuration } = this.options;
    const publications: Publication[] = [];
    const endsAt = performance.now() + durationMs;
    while (performance.now() < endsAt - PHASE_TIMES.tailMs) {
      configuration.changeOneEndpoint();
      await fleet.publish(configuration);
      const { version } = configuration;
      publications.push({ version, at: Date.now(), expected: new Set(this.running) });
      await delay(PHASE_TIMES.changeIntervalMs);
    }
    await delay(Math.max(0, endsAt - performance.now()));
    return publications;
  }

  private async start(indices: readonly number[]): Promise<void> {
    const at = Date.now();
    for (const index of indices) {
      this.running.add(index);
      this.startedAt.set(index, at);
    }
    await this.options.fleet.startNodes(indices);
  }

  private async stop(indices: readonly number[], isPlanned: boolean): Promise<void> {
    indices.forEach((index) => this.running.delete(index));
    await this.options.fleet.stopNodes(indices, isPlanned);
  }

  /** A start counts as a publication of the newest version to that node alone. */
  private startsAsPublications(indices: readonly number[]): Publication[] {
    const { version } = this.options.configuration;
    return indices.map((index) => ({
      version,
      at: this.startedAt.get(index) ?? 0,
      expected: new Set([index]),
    }));
  }

  /** Time until every running node holds the newest version; undefined when the limit ran out. */
  private async waitUntilAllHold(limitMs: number): Promise<number | undefined> {
    const { version } = this.options.configuration;
    const from = Date.now();
    while (Date.now() - from < limitMs) {
      this.log.add(await this.options.fleet.adoptions());
      const reached = [...this.running].map((index) =>
        this.log.reachedAt(index, version, this.startedAt.get(index) ?? 0),
      );
      if (!reached.includes(undefined)) {
        return Math.max(0, ...reached.map((at = 0) => at - from));
      }
      await delay(LOOK_INTERVAL_MS);
    }
    return undefined;
  }

  private async close(
    name: PhaseName,
    before: FleetSample,
    seen: {
      publications?: readonly Publication[];
      recoveryMs?: number | undefined;
      events?: number;
    },
  ): Promise<void> {
    const after = await this.sample(false);
    const figures = phaseFigures(before, after);
    const { publications, recoveryMs, events = 0 } = seen;
    const convergence = publications && this.log.summarize(publications);
    this.phases.push({ name, figures, convergence, recoveryMs, events });
    this.options.progress(
      `${name}: ${figures.seconds} s, cpu ${figures.cpuPercent}%, ` +
        `${figures.sentBytesPerSecond}+${figures.receivedBytesPerSecond} bytes/s, ` +
        `links ${figures.meanLinks}, loop p99 ${figures.loopDelayP99Ms} ms` +
        (convergence === undefined
          ? ''
          : `, convergence p99 ${convergence.p99Ms} ms, missing ${convergence.missing}`) +
        (recoveryMs === undefined ? '' : `, recovery ${recoveryMs} ms`),
    );
  }

  private async sample(collectGarbage: boolean): Promise<FleetSample> {
    const sample = await this.options.fleet.sample(collectGarbage);
    this.log.add(await this.options.fleet.adoptions());
    this.peakResidentBytes = Math.max(this.peakResidentBytes, sample.residentBytes);
    return sample;
  }

  private inGroup(by: 'zone' | 'region', name: string): number[] {
    return this.hollow.filter((index) => this.options.fleet.machines[index]?.[by] === name);
  }

  private choose(count: number): number[] {
    const keyed = this.hollow.map((index) => ({ index, key: this.options.random() }));
    keyed.sort((left, right) => left.key - right.key);
    return keyed.slice(0, count).map(({ index }) => index);
  }
}
