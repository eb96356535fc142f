/** One run with failures: start, failures under traffic, healing, and the comparison at the end. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Execution } from '../../standins/backend/execution-ledger.js';
import type { Fleet } from '../demo/fleet.js';
import { findNodesWithoutRoute } from '../demo/route-probe.js';
import { Traffic } from '../demo/traffic.js';
import { VersionMonitor } from '../demo/version-monitor.js';
import { auditCalls, BROKEN_PROMISES, type CallAudit } from '../shared/call-audit.js';
import type { CallRecord } from '../shared/call-record.js';
import {
  CONVERGENCE_BOUND_MS,
  findCutWithoutFailure,
  findUnservedByUntouched,
  type FaultRunResult,
  type NodeAbsence,
} from './fault-checks.js';
import { FaultInjector } from './fault-injector.js';
import type { ScheduledFault } from './fault-action.js';
import { Publications } from './publications.js';

const START_TIMEOUT_MS = 30_000;
/** Time that the platform takes to answer, so that readers at once meet there. */
const PLATFORM_DELAY_MS = 400;
/** Traffic before the first failure. */
const WARM_UP_MS = 2_000;
/** Share of calls that work for long, so that failures meet calls in flight. */
const SLOW_SHARE = 0.3;
/** Traffic after convergence. */
const COOL_DOWN_MS = 3_000;
/** Calls whose records and executions are printed when they broke a promise. */
const MAX_EXPLAINED_CALLS = 6;

/** How to run. */
export interface FaultRunOptions {
  readonly seed: number;
  readonly schedule: readonly ScheduledFault[];
  readonly ratePerSecond: number;
  readonly random: () => number;
  readonly say: (text: string) => void;
  /** Takes everything that was judged, for a closer look. */
  readonly trace?: (trace: FaultTrace) => void;
}

/** Calls, executions and absences of one run. */
export interface FaultTrace {
  readonly records: readonly CallRecord[];
  readonly executions: readonly Execution[];
  readonly absences: readonly NodeAbsence[];
}

/** Runs a fleet that has not been started; the caller ends it. */
export async function runFaults(fleet: Fleet, options: FaultRunOptions): Promise<FaultRunResult> {
  return new FaultRun(fleet, options).run();
}

class FaultRun {
  private readonly publications: Publications;
  private readonly injector: FaultInjector;

  constructor(
    private readonly fleet: Fleet,
    private readonly options: FaultRunOptions,
  ) {
    this.publications = new Publications(fleet);
    this.injector = new FaultInjector(fleet, this.publications, options.say);
  }

  async run(): Promise<FaultRunResult> {
    const { fleet, injector, publications, options } = this;
    const monitor = await this.start();
    const traffic = this.startTraffic();
    await delay(WARM_UP_MS);
    await this.performAll();
    const { convergenceMs, withoutNewRoute } = await this.heal(monitor);
    await delay(COOL_DOWN_MS);
    const { dropped } = await traffic.finish();
    await monitor.stop();
    const executions = await fleet.backends.printedExecutions();
    const { records } = traffic;
    const audit = auditCalls(records, executions);
    options.trace?.({ records, executions, absences: injector.absences });
    const cutWithoutFailure = findCutWithoutFailure(records, injector.windows);
    this.explain(audit, cutWithoutFailure, records, executions);
    const platform = await fleet.platformCounters();
    const { log } = monitor;
    return {
      title: fleet.plan.deployment.title,
      seed: options.seed,
      failures: injector.performed,
      audit,
      dropped,
      cutWithoutFailure,
      unservedByUntouched: findUnservedByUntouched(records, injector.absences),
      executions: executions.length,
      falls: log.falls,
      versionsPublished: publications.newestVersion,
      badVersionsHeld: publications.badVersions.filter((bad) => log.versionsSeen.has(bad)),
      peakReaders: platform.peakReaders,
      readersRefused: platform.readersRefused,
      readerBound: fleet.plan.readerBound,
      convergenceMs,
      behind: fleet.nodes
        .filter(({ id }) => log.heldBy(id) !== publications.newestVersion)
        .map(({ id }) => `${id} (${log.heldBy(id)})`),
      withoutNewRoute,
      plannedExits: injector.plannedExits,
      endedUnasked: fleet.endedUnasked().map(({ name, output }) => `${name}: ${output.join('\n')}`),
    };
  }

  private async start(): Promise<VersionMonitor> {
    const { fleet, options } = this;
    options.say(`starting ${fleet.plan.machines.length} nodes, their back ends and the platform`);
    await fleet.startOutside();
    await fleet.changePlatform({ answerDelayMs: PLATFORM_DELAY_MS });
    const startedAtMs = performance.now();
    await fleet.startNodes();
    const monitor = new VersionMonitor(fleet);
    const tookMs = await monitor.converged(1, startedAtMs, START_TIMEOUT_MS);
    if (tookMs === undefined) {
      throw new Error(`the fleet did not start within ${START_TIMEOUT_MS} ms`);
    }
    options.say(`every node holds version 1 after ${Math.round(tookMs)} ms`);
    return monitor;
  }

  private startTraffic(): Traffic {
    const { fleet, options } = this;
    const { deployment } = fleet.plan;
    const lastFaultMs = options.schedule.at(-1)?.atMs ?? 0;
    return new Traffic({
      name: deployment.name,
      services: deployment.services.map(({ name }) => name),
      edges: fleet.nodes.filter((node) => node.isEdge),
      ratePerSecond: options.ratePerSecond,
      durationMs: lastFaultMs + 4 * CONVERGENCE_BOUND_MS,
      random: options.random,
      slowShare: SLOW_SHARE,
    });
  }

  private async performAll(): Promise<void> {
    const beganAtMs = performance.now();
    const underWay: Promise<void>[] = [];
    for (const { atMs, action } of this.options.schedule) {
      await delay(Math.max(0, atMs - (performance.now() - beganAtMs)));
      underWay.push(this.injector.perform(action));
    }
    await Promise.all(underWay);
  }

  /** Ends the platform's failures and publishes once more; waits until that is in force. */
  private async heal(
    monitor: VersionMonitor,
  ): Promise<Pick<FaultRunResult, 'convergenceMs' | 'withoutNewRoute'>> {
    const { fleet, publications, options } = this;
    options.say('failures have ended; publishing the last version');
    const endedAtMs = performance.now();
    await fleet.changePlatform({ outage: 'none', staleVersion: null });
    const path = await publications.publishNewRoute();
    const version = publications.newestVersion;
    const convergenceMs = await monitor.converged(version, endedAtMs, CONVERGENCE_BOUND_MS);
    const { name } = fleet.plan.deployment;
    return { convergenceMs, withoutNewRoute: await findNodesWithoutRoute(name, fleet.nodes, path) };
  }

  /** Prints what is known of calls that broke a promise. */
  private explain(
    audit: CallAudit,
    cut: readonly CallRecord[],
    records: readonly CallRecord[],
    executions: readonly Execution[],
  ): void {
    const names = [
      ...BROKEN_PROMISES.flatMap((promise) => audit[promise]),
      ...cut.map((record) => record.callId),
    ];
    for (const name of names.slice(0, MAX_EXPLAINED_CALLS)) {
      const isNamed = (one: { callId?: string; idempotencyKey?: string }): boolean =>
        one.callId === name || one.idempotencyKey === name;
      const known = { name, calls: records.filter(isNamed), ran: executions.filter(isNamed) };
      this.options.say(JSON.stringify(known));
    }
  }
}
