/** The machines of the fleet, and the platform's list of them, which lags behind. */
import type { PeerAddress, PeerIdentity } from '../../src/membership/peer-identity.js';
import { canonicalJson } from '../../src/model/canonical-json.js';
import type { Machine } from '../../src/model/machine.js';
import type { EmulatedPlatform } from './emulated-platform.js';
import type { EmulatedProcess } from './emulated-process.js';
import { siteAddress, type Site } from './topology.js';
import type { VirtualScheduler } from './virtual-scheduler.js';

/** Port of the peer protocol on every emulated machine. */
export const CONTROL_PORT = 7400;
/** Port for relayed requests on every emulated machine. */
export const RELAY_PORT = 7300;
/** How far the list is behind unless told otherwise. */
export const DEFAULT_LIST_LAG_MS = 5_000;
/** Changes within this time become one version of the list. */
const LIST_BATCH_MS = 1_000;

/** One machine. */
export interface EmulatedMachine {
  readonly site: Site;
  readonly identity: Omit<PeerIdentity, 'incarnation'>;
  /** Whether anything answers at the machine's address. */
  up: boolean;
  leaving: boolean;
  process: EmulatedProcess | undefined;
  lastIncarnation: number;
}

/** The fleet's machines and the publication of their list. */
export class MachineRegistry {
  readonly all: readonly EmulatedMachine[];
  listLagMs = DEFAULT_LIST_LAG_MS;
  private readonly byAddress = new Map<string, EmulatedMachine>();
  private listVersion = 0;
  private publicationPending = false;
  private listsTaken = 0;
  private newestPublished = 0;

  constructor(
    sites: readonly Site[],
    private readonly platform: EmulatedPlatform,
    private readonly scheduler: VirtualScheduler,
  ) {
    this.all = sites.map(buildMachine);
    for (const machine of this.all) {
      this.byAddress.set(machine.identity.address, machine);
    }
    this.publish(this.currentList(), 0);
  }

  /** The machine at an address. */
  at(target: PeerAddress): EmulatedMachine | undefined {
    return target.controlPort === CONTROL_PORT ? this.byAddress.get(target.address) : undefined;
  }

  markUp(machine: EmulatedMachine): void {
    const changes = !machine.up || machine.leaving;
    machine.up = true;
    machine.leaving = false;
    if (changes) {
      this.publishLater();
    }
  }

  markDown(machine: EmulatedMachine): void {
    if (machine.up) {
      machine.up = false;
      this.publishLater();
    }
  }

  markLeaving(machine: EmulatedMachine): void {
    if (!machine.leaving) {
      machine.leaving = true;
      this.publishLater();
    }
  }

  private publishLater(): void {
    if (this.publicationPending) {
      return;
    }
    this.publicationPending = true;
    this.scheduler.schedule(this.scheduler.nowMs + LIST_BATCH_MS, {
      run: () => {
        this.publicationPending = false;
        const list = this.currentList();
        this.listsTaken += 1;
        const taken = this.listsTaken;
        const lagMs = Math.max(0, this.listLagMs - LIST_BATCH_MS);
        const publishAtMs = this.scheduler.nowMs + lagMs;
        this.scheduler.schedule(publishAtMs, { run: () => this.publish(list, taken) });
      },
    });
  }

  private publish(list: ReadonlyMap<string, string>, taken: number): void {
    if (taken < this.newestPublished) {
      return;
    }
    this.newestPublished = taken;
    this.listVersion += 1;
    this.platform.publishMachines(this.listVersion, list);
  }

  private currentList(): Map<string, string> {
    const listed = this.all.filter((machine) => machine.up);
    return new Map(
      listed.map((machine) => [`machine/${machine.site.id}`, canonicalJson(listing(machine))]),
    );
  }
}

function buildMachine(site: Site): EmulatedMachine {
  const identity = {
    id: site.id,
    address: siteAddress(site.index),
    controlPort: CONTROL_PORT,
    relayPort: RELAY_PORT,
    zone: site.zone,
    region: site.region,
  };
  return { site, identity, up: true, leaving: false, process: undefined, lastIncarnation: 0 };
}

function listing(machine: EmulatedMachine): Machine {
  return {
    ...machine.identity,
    seniority: machine.site.index,
    state: machine.leaving ? 'leaving' : 'live',
  };
}
