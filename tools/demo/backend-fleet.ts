/** The back ends of one deployment, and everything that they ran. */
import type { AnswerFault } from '../../standins/backend/answer-fault.js';
import type { BackendCounters, LedgerReport } from '../../standins/backend/backend-stand-in.js';
import type { Execution } from '../../standins/backend/execution-ledger.js';
import type { CallTarget } from '../shared/call-client.js';
import type { ChildExit, ChildGroup } from '../shared/child-process.js';
import { getJson, postJson } from '../shared/json-client.js';
import { machineOf, type FleetPlan, type MachinePlan } from './fleet-plan.js';
import { LedgerJournal } from './ledger-journal.js';
import { programPath, startStandIn, type StandInProcess } from './stand-in-process.js';

const BACKEND_PROGRAM = programPath(import.meta.url, '../../standins/backend/main.js');

/** How the stand-ins of a fleet run. */
export interface FleetOptions {
  /** Back ends print their ledgers as they change, so that a kill loses none of them. */
  readonly printLedgers: boolean;
  /** Time for which SIGTERM makes a back end refuse new work before it ends, in milliseconds. */
  readonly backendDrainMs: number;
}

/** Those of the demo. */
export const DEFAULT_FLEET_OPTIONS: FleetOptions = { printLedgers: false, backendDrainMs: 0 };

/** Back ends by their machines' ids. */
export class BackendFleet {
  private readonly running = new Map<string, StandInProcess>();
  private readonly ledgers: LedgerReport[] = [];
  private readonly journals: LedgerJournal[] = [];
  private readonly currentPorts = new Map<string, number>();

  constructor(
    private readonly plan: FleetPlan,
    private readonly options: FleetOptions,
    private readonly children: ChildGroup,
  ) {}

  /** Ports of the back ends that belong into the configuration; a killed one stays in it. */
  get ports(): ReadonlyMap<string, number> {
    return this.currentPorts;
  }

  /** Where the back ends that run take requests. */
  targets(): CallTarget[] {
    return [...this.running.values()].map(({ serving }) => serving);
  }

  counters(id: string): Promise<BackendCounters> {
    return getJson<BackendCounters>(this.backend(id).control, '/counters');
  }

  /** Makes a back end refuse new work. */
  async drain(id: string): Promise<void> {
    await postJson(this.backend(id).control, '/settings', { draining: true });
  }

  /** Breaks the next answers of a back end, `count` of them with each fault. */
  async breakAnswers(id: string, faults: readonly AnswerFault[], count: number): Promise<void> {
    for (const fault of faults) {
      await postJson(this.backend(id).control, '/faults', { fault, count });
    }
  }

  /** Stops a drained back end, after keeping its ledger. */
  async stop(id: string): Promise<ChildExit> {
    const backend = this.backend(id);
    this.ledgers.push(await getJson<LedgerReport>(backend.control, '/ledger'));
    this.currentPorts.delete(id);
    this.running.delete(id);
    backend.child.signal('SIGTERM');
    return backend.child.exited;
  }

  /** The ledgers of all back ends, stopped ones too. */
  async allLedgers(): Promise<LedgerReport[]> {
    const running = [...this.running.values()].map(({ control }) =>
      getJson<LedgerReport>(control, '/ledger'),
    );
    return [...this.ledgers, ...(await Promise.all(running))];
  }

  /** Ends a back end by a signal, with no word before; it stays in the configuration. */
  async end(id: string, signal: 'SIGTERM' | 'SIGKILL'): Promise<ChildExit> {
    const { child } = this.backend(id);
    this.running.delete(id);
    child.signal(signal);
    return child.exited;
  }

  /** Starts a back end that has ended again, on its former port. */
  async restart(id: string): Promise<void> {
    await this.start(machineOf(this.plan, id));
  }

  /**
   * Every execution of every back end that ran, killed ones too; needs `printLedgers`. Those of
   * processes that still run are complete up to what their callers have been answered.
   */
  async printedExecutions(): Promise<Execution[]> {
    await Promise.all(this.journals.map((journal) => journal.settle()));
    return this.journals.flatMap((journal) => journal.executions());
  }

  /** Starts the back end of a machine. */
  async start({ machine }: MachinePlan): Promise<void> {
    const { slots, maxConnections } = this.plan.deployment;
    const { printLedgers, backendDrainMs } = this.options;
    const standIn = await startStandIn(
      this.children,
      machine.id,
      BACKEND_PROGRAM,
      machine.address,
      [
        ...['--name', machine.id],
        ...['--host', machine.address],
        ...['--slots', String(slots)],
        ...['--max-connections', String(maxConnections)],
        ...['--drain-ms', String(backendDrainMs)],
        ...['--port', String(this.currentPorts.get(machine.id) ?? 0)],
        ...(printLedgers ? ['--print-ledger'] : []),
      ],
    );
    this.running.set(machine.id, standIn);
    this.currentPorts.set(machine.id, standIn.serving.port);
    if (printLedgers) {
      this.journals.push(new LedgerJournal(standIn.child));
    }
  }

  private backend(id: string): StandInProcess {
    const found = this.running.get(id);
    if (found === undefined) {
      throw new Error(`no back end ${id}`);
    }
    return found;
  }
}
