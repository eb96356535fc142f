/**
 * Runs scripts of operators' writes and failures on the emulated network, and checks the results.
 */
import { compareVersions } from '../../src/model/version.js';
import type {
  OperatorWrite,
  Precondition,
  ResourceChange,
} from '../../src/replication/operator-write.js';
import type { Ballot } from '../../src/replication/replication-message.js';
import {
  configurationOf,
  type VoterConfiguration,
} from '../../src/replication/voter-configuration.js';
import { NO_FAULTS, type NetworkFaults } from './network-faults.js';
import { ReplicationNetwork } from './replication-network.js';
import {
  MARKER_KEY,
  OracleViolation,
  serviceJson,
  versionIn,
  WriteOracle,
} from './write-oracle.js';

import type { FaultInjection } from './fault-injection.js';
import { PRIMARY, type Script, type Step } from './write-steps.js';

const FAULT_LEVELS: readonly NetworkFaults[] = [
  NO_FAULTS,
  { lossPercent: 5, duplicatePercent: 10, slowPercent: 10, maxDelayMs: 30, slowDelayMs: 3_000 },
  { lossPercent: 20, duplicatePercent: 20, slowPercent: 30, maxDelayMs: 100, slowDelayMs: 9_000 },
];
const FORMATION_MS = 10_000;
/** Time within which a healed network must have a working group again, in milliseconds. */
const RECOVERY_MS = 120_000;

/** Statistics of a run, to verify that the scripts cover the intended cases. */
export interface RunSummary {
  readonly steps: number;
  readonly revisions: number;
  readonly outcomes: Readonly<Record<string, number>>;
}

/** One run of a script, optionally with an injected fault. */
export class ScriptRun {
  readonly oracle = new WriteOracle();
  readonly network: ReplicationNetwork;
  private lastValue = 0;
  private replacementCount = 0;

  constructor(
    private readonly script: Script,
    injection: FaultInjection = {},
  ) {
    const count = script.voters === 1 ? 2 : script.voters + 2;
    const machineIds = Array.from({ length: count }, (_, index) => `m${index}`);
    this.network = new ReplicationNetwork({
      machineIds,
      initialVoterIds: machineIds.slice(0, script.voters),
      targetVoterCount: script.voters,
      seed: script.seed,
      onCommitted: (document) => {
        this.oracle.onCommitted(document);
      },
      injection,
    });
  }

  /**
   * Runs all steps, heals the network, and checks the history, convergence and that writes are
   * accepted again.
   */
  run(): RunSummary {
    this.network.advance(this.script.isWarm ? FORMATION_MS : 0);
    for (const step of this.script.steps) {
      this.execute(step);
    }
    this.heal();
    this.oracle.check();
    this.checkConvergence();
    const outcomes: Record<string, number> = {};
    for (const { outcome } of this.oracle.outcomes()) {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    }
    return { steps: this.script.steps.length, revisions: this.oracle.documents.size, outcomes };
  }

  private execute(step: Step): void {
    const { network } = this;
    switch (step.type) {
      case 'write':
        this.write(step);
        break;
      case 'wait':
        network.advance(step.durationMs);
        break;
      case 'kill':
        this.kill(this.chooseMachine(step.node), (id) => {
          network.kill(id);
        });
        break;
      case 'replace':
        this.kill(this.chooseMachine(step.node), (id) => {
          if (this.losesDeclaredMajority(id)) {
            return;
          }
          network.remove(id);
          this.replacementCount += 1;
          network.addMachine(`r${this.replacementCount}`);
        });
        break;
      case 'herd':
        for (const choice of step.nodes) {
          network.kill(`m${choice}`);
        }
        break;
      case 'leave':
        this.leave(this.chooseMachine(step.node));
        break;
      case 'restart':
        this.restartAll();
        break;
      case 'heal':
        network.cut(() => false);
        break;
      case 'pause':
        network.pause(this.chooseMachine(step.node), step.durationMs);
        break;
      case 'cut':
        network.cut((from, to) => this.areSeparated(step.mask, step.isOneWay, from, to));
        break;
      case 'isolate':
        this.isolate(step);
        break;
      case 'faults':
        network.faults = FAULT_LEVELS[step.level] ?? NO_FAULTS;
        break;
    }
  }

  private write(step: Extract<Step, { type: 'write' }>): void {
    const { network, oracle } = this;
    this.lastValue += 1;
    const id = this.chooseMachine(step.node);
    const key = `service/k${step.key}`;
    const held = network.processOf(id)?.operator;
    const version = (held && versionIn(held, key)) ?? '0';
    const preconditions: Record<typeof step.precondition, Precondition | undefined> = {
      none: undefined,
      absent: { type: 'absent' },
      held: { type: 'version', version },
      stale: { type: 'version', version: `${Math.max(0, Number(version) - 1)}` },
    };
    const precondition = preconditions[step.precondition];
    const change: ResourceChange = {
      key,
      json: step.isDeletion ? null : serviceJson(key, this.lastValue),
      precondition,
    };
    const marker = { key: MARKER_KEY, json: serviceJson(MARKER_KEY, this.lastValue) };
    const request: OperatorWrite = { changes: step.isDeletion ? [change, marker] : [change] };
    network.write(id, request, oracle.submit(this.lastValue, request, this.livenessOf(id)));
  }

  /**
   * Kills a machine's process unless a majority of the voters would be lost: the replication
   * tolerates the loss of a minority that is not replaced yet.
   */
  private kill(id: string, kill: (id: string) => void): void {
    const { network } = this;
    const process = network.processOf(id);
    const isOnlySeed = this.script.voters === 1 && id === 'm0';
    if (process === undefined || isOnlySeed) {
      return;
    }
    const losesMajority = this.configurationsInUse().some((configuration) => {
      const others = configuration.voters.filter((voter) => voter.id !== id);
      const alive = others.filter(
        (voter) => network.processOf(voter.id)?.identity.incarnation === voter.incarnation,
      );
      return alive.length < Math.floor(configuration.voters.length / 2) + 1;
    });
    if (!losesMajority) {
      kill(id);
    }
  }

  /**
   * Whether the removal of `id` would leave half of the declared machines or fewer while no group
   * exists. An operator would then have to change the settings.
   */
  private losesDeclaredMajority(id: string): boolean {
    const { machines, options } = this.network;
    const left = options.initialVoterIds.filter(
      (otherId) => otherId !== id && machines.get(otherId)?.isGone !== true,
    );
    const hasGroup = this.oracle.newest.version.number > 0;
    return !hasGroup && left.length * 2 <= options.initialVoterIds.length;
  }

  /** The newest configuration, and the previous one until a majority of the newest has joined. */
  private configurationsInUse(): VoterConfiguration[] {
    const { newest, documents } = this.oracle;
    const current = configurationOf(newest);
    if (current === undefined) {
      return [];
    }
    const joined = current.voters.filter(
      (voter) => this.network.processOf(voter.id)?.replica.summary().ballot.epoch === current.epoch,
    );
    if (joined.length * 2 > current.voters.length) {
      return [current];
    }
    const earlier = [...documents.values()]
      .map(configurationOf)
      .filter((configuration) => configuration?.epoch === current.epoch - 1)
      .slice(0, 1);
    return [current, ...earlier.flatMap((configuration) => configuration ?? [])];
  }

  private isolate(step: Extract<Step, { type: 'isolate' }>): void {
    const ids = [...this.network.machines.keys()];
    const first = ids.indexOf(this.chooseMachine(step.node));
    const inside = new Set(
      Array.from({ length: step.others + 1 }, (_, index) => ids[(first + index) % ids.length]),
    );
    this.network.cut((from, to) => inside.has(from) !== inside.has(to));
  }

  private leave(id: string): void {
    const machine = this.network.machines.get(id);
    const leaving = [...this.network.machines.values()].filter((other) => other.isLeaving).length;
    if (machine !== undefined && leaving === 0) {
      machine.isLeaving = true;
    }
  }

  private heal(): void {
    const { network } = this;
    network.faults = NO_FAULTS;
    network.cut(() => false);
    this.restartAll();
    network.advance(RECOVERY_MS);
  }

  private checkConvergence(): void {
    const { network, oracle } = this;
    const value = this.lastValue + 1;
    const json = serviceJson(MARKER_KEY, value);
    const request: OperatorWrite = { changes: [{ key: MARKER_KEY, json }] };
    const id = this.chooseMachine(value);
    network.write(id, request, oracle.submit(value, request, this.livenessOf(id)));
    network.advance(20_000);
    const last = oracle.outcomes().at(-1)?.outcome;
    if (last !== 'accepted') {
      const summaries = network.processes().map(({ identity, replica }) => {
        const { status, ballot, commitNumber } = replica.summary();
        return `${identity.id}:${status}/${ballot.epoch}.${ballot.view}@${commitNumber}`;
      });
      throw new OracleViolation(
        `writes are not accepted after healing: ${last}; ${summaries.join(' ')}`,
      );
    }
    for (const { identity, operator } of network.processes()) {
      if (compareVersions(operator.version, oracle.newest.version) !== 0) {
        throw new OracleViolation(`${identity.id} is at revision ${operator.version.number}`);
      }
    }
  }

  private livenessOf(id: string): () => boolean {
    const writer = this.network.processOf(id);
    return () => writer === undefined || writer.isAlive;
  }

  private restartAll(): void {
    for (const [id, machine] of this.network.machines) {
      if (!machine.isGone) {
        this.network.start(id);
      }
    }
  }

  private areSeparated(mask: number, isOneWay: boolean, from: string, to: string): boolean {
    const ids = [...this.network.machines.keys()];
    const side = (id: string): number => (mask >>> (ids.indexOf(id) % 6)) & 1;
    return isOneWay ? side(from) > side(to) : side(from) !== side(to);
  }

  private chooseMachine(choice: number): string {
    const primary = choice === PRIMARY ? this.latestPrimary() : undefined;
    if (primary !== undefined) {
      return primary;
    }
    const ids = [...this.network.machines]
      .filter(([, candidate]) => !candidate.isGone)
      .map(([id]) => id);
    return ids[choice % ids.length] ?? 'm0';
  }

  private latestPrimary(): string | undefined {
    const primaries = this.network
      .processes()
      .map(({ identity, replica }) => ({ id: identity.id, standing: replica.summary() }))
      .filter(({ standing }) => standing.isPrimary)
      .sort(({ standing: left }, { standing: right }) => compareBallots(left.ballot, right.ballot));
    return primaries.at(-1)?.id;
  }
}

function compareBallots(left: Ballot, right: Ballot): number {
  return left.epoch - right.epoch || left.view - right.view;
}
