/** Links between processes of the emulated network. Both ends notice a lost link after a delay. */
import type { ControlEvent } from '../../src/control/control-event.js';
import type { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import type { Process } from './replication-process.js';

const LINK_LOSS_NOTICE_MS = 300;

/** Whether messages from one machine to another are dropped. */
export type IsCut = (from: string, to: string) => boolean;

/** Processes of the emulated fleet. */
export interface LinkedFleet {
  processes(): readonly Process[];
  processOf(id: string): Process | undefined;
}

/** Opens, closes and cuts links between processes. */
export class EmulatedLinks {
  isCut: IsCut = () => false;

  constructor(
    private readonly fleet: LinkedFleet,
    private readonly scheduler: VirtualScheduler,
    private readonly offer: (process: Process, event: ControlEvent) => void,
  ) {}

  /** Sets the partition, and closes the links that it cuts. */
  cut(isCut: IsCut): void {
    this.isCut = isCut;
    for (const process of this.fleet.processes()) {
      for (const other of process.links) {
        if (isCut(process.identity.id, other) || isCut(other, process.identity.id)) {
          this.close(process, other);
        }
      }
    }
  }

  openAll(): void {
    const processes = this.fleet.processes();
    for (const left of processes) {
      for (const right of processes) {
        this.open(left, right);
      }
    }
  }

  /** Opens a link unless it is cut or already open. */
  open(left: Process, right: Process | undefined): void {
    if (right === undefined || left === right || !left.isAlive || !right.isAlive) {
      return;
    }
    const [leftId, rightId] = [left.identity.id, right.identity.id];
    const isCut = this.isCut(leftId, rightId) || this.isCut(rightId, leftId);
    if (isCut || left.links.has(rightId) || right.links.has(leftId)) {
      return;
    }
    left.links.add(rightId);
    right.links.add(leftId);
    this.offer(left, { type: 'peer-up', peer: right.identity });
    this.offer(right, { type: 'peer-up', peer: left.identity });
  }

  /**
   * Closes a link. Both ends notice it after a delay, unless the link has been reopened by then.
   */
  close(process: Process, otherId: string): void {
    const other = this.fleet.processOf(otherId);
    process.links.delete(otherId);
    other?.links.delete(process.identity.id);
    const notice = (): void => {
      if (other !== undefined && !other.links.has(process.identity.id)) {
        this.offer(other, { type: 'peer-down', peer: process.identity });
      }
      if (other !== undefined && !process.links.has(otherId)) {
        this.offer(process, { type: 'peer-down', peer: other.identity });
      }
    };
    this.scheduler.schedule(this.scheduler.nowMs + LINK_LOSS_NOTICE_MS, { run: notice });
  }
}
