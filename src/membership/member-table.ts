/**
 * What is known of members beyond the machine list: claims that differ from "listed and alive".
 * A listed machine without a record counts as alive, so the table stays small in a healthy fleet.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Machine } from '../model/machine.js';
import type { MemberStatus, MemberUpdate } from '../wire/message.js';
import type { MachineIndex } from './machine-index.js';
import type { PeerIdentity } from './peer-identity.js';

/** Records kept at most. */
export const MAX_MEMBER_RECORDS = 4_096;
/** Members kept at most that are alive and on no list. */
export const MAX_UNLISTED_MEMBERS = 256;
/** How long a settled record is kept, in milliseconds. */
export const MEMBER_RETENTION_MS = 900_000;
/** How often settled records are looked for, in milliseconds. */
export const MEMBER_SWEEP_INTERVAL_MS = 60_000;

const STATUS_RANK: Record<MemberStatus, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

/** One claim that is held. */
export interface MemberRecord {
  readonly identity: PeerIdentity;
  readonly status: MemberStatus;
  /** When this claim was learned, in milliseconds. */
  readonly sinceMs: number;
}

/** Whether the claim in `update` outranks `held`: higher incarnation, then stronger status. */
export function outranks(update: MemberUpdate, held: MemberUpdate): boolean {
  const newer = update.member.incarnation - held.member.incarnation;
  if (newer !== 0) {
    return newer > 0;
  }
  return STATUS_RANK[update.status] > STATUS_RANK[held.status];
}

/** The claims about other members. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();
  /** Suspects and when each is held dead; in order of that time. */
  private readonly suspects = new Map<string, number>();
  private unlistedAlive = 0;
  private machines: MachineIndex;

  /** `deadAfterMs`: how long a suspect has to refute. */
  constructor(
    machines: MachineIndex,
    private readonly deadAfterMs: number,
  ) {
    this.machines = machines;
  }

  /** Records held now. */
  get size(): number {
    return this.records.size;
  }

  /** A newer machine list came into force. */
  setMachines(machines: MachineIndex): void {
    this.machines = machines;
    this.unlistedAlive = 0;
    for (const record of this.records.values()) {
      this.unlistedAlive += this.isUnlistedAlive(record) ? 1 : 0;
    }
  }

  /** The claim held about a member. */
  record(memberId: string): MemberRecord | undefined {
    return this.records.get(memberId);
  }

  /** All claims held. */
  all(): IterableIterator<MemberRecord> {
    return this.records.values();
  }

  /**
   * Takes a claim. Returns the claim that is now held and worth passing on, or undefined when nothing
   * changed. A claim of death about a member that was held alive starts as suspicion, so that the
   * accused always has time to refute.
   */
  apply(update: MemberUpdate, nowMs: number): MemberUpdate | undefined {
    const { member } = update;
    const held = this.records.get(member.id);
    if (held !== undefined && !this.mayReplace(update, held)) {
      return undefined;
    }
    if (held === undefined && !this.shouldRecord(update)) {
      return undefined;
    }
    const wasSuspectOrLeaving = held?.status === 'suspect' || held?.status === 'leaving';
    const isFirstReport = update.status === 'dead' && !wasSuspectOrLeaving;
    const status = isFirstReport ? 'suspect' : update.status;
    if (held?.status === status && held.identity.incarnation === member.incarnation) {
      return undefined;
    }
    this.storeRecord({ identity: member, status, sinceMs: nowMs });
    return { member, status };
  }

  /** The status of a member; undefined when it is neither listed nor known. */
  status(memberId: string): MemberStatus | undefined {
    const machine = this.machines.byId.get(memberId);
    const record = this.records.get(memberId);
    if (machine?.state === 'leaving' && record?.status !== 'dead') {
      return 'leaving';
    }
    return record?.status ?? (machine === undefined ? undefined : 'alive');
  }

  /** Time at which {@link expire} has something to do, in milliseconds. */
  nextExpiryAt(): number {
    for (const expiresAt of this.suspects.values()) {
      return expiresAt;
    }
    return Infinity;
  }

  /** Holds dead the suspects that did not refute in time; returns them. */
  expire(nowMs: number): PeerIdentity[] {
    const dead: PeerIdentity[] = [];
    for (const [memberId, expiresAt] of this.suspects) {
      if (expiresAt > nowMs) {
        break;
      }
      const record = this.records.get(memberId);
      this.suspects.delete(memberId);
      if (record?.status === 'suspect') {
        this.storeRecord({ identity: record.identity, status: 'dead', sinceMs: nowMs });
        dead.push(record.identity);
      }
    }
    return dead;
  }

  /** The node was paused: every suspect gets its whole time to refute again. */
  restartTimeouts(nowMs: number): void {
    for (const memberId of this.suspects.keys()) {
      this.suspects.set(memberId, nowMs + this.deadAfterMs);
    }
  }

  /** A random member that is held dead; undefined when there is none. */
  randomDead(random: RandomSource): PeerIdentity | undefined {
    let chosen: PeerIdentity | undefined;
    let deadCount = 0;
    for (const record of this.records.values()) {
      if (record.status === 'dead') {
        deadCount += 1;
        chosen = random() * deadCount < 1 ? record.identity : chosen;
      }
    }
    return chosen;
  }

  /** Forgets settled records: on the list or not, no longer needed after the retention time. */
  sweep(nowMs: number): void {
    for (const [memberId, record] of this.records) {
      if (nowMs - record.sinceMs >= MEMBER_RETENTION_MS && this.isSettled(record)) {
        this.remove(memberId);
      }
    }
  }

  /** A machine's identity as a peer: from its record, else from the list. */
  identityOf(memberId: string): PeerIdentity | undefined {
    const record = this.records.get(memberId);
    const machine = this.machines.byId.get(memberId);
    return record?.identity ?? (machine === undefined ? undefined : identityOfMachine(machine));
  }

  /** The precedence rule between a new claim and the held one. */
  protected mayReplace(update: MemberUpdate, held: MemberRecord): boolean {
    return outranks(update, { member: held.identity, status: held.status });
  }

  private shouldRecord(update: MemberUpdate): boolean {
    const isListed = this.machines.byId.has(update.member.id);
    if (update.status !== 'alive') {
      return isListed || update.status !== 'dead';
    }
    return !isListed && this.unlistedAlive < MAX_UNLISTED_MEMBERS;
  }

  private isUnlistedAlive(record: MemberRecord): boolean {
    return record.status === 'alive' && !this.machines.byId.has(record.identity.id);
  }

  private isSettled(record: MemberRecord): boolean {
    const isListed = this.machines.byId.has(record.identity.id);
    return record.status === 'alive' ? isListed : record.status !== 'suspect';
  }

  private storeRecord(record: MemberRecord): void {
    const memberId = record.identity.id;
    this.remove(memberId);
    this.records.set(memberId, record);
    if (record.status === 'suspect') {
      this.suspects.set(memberId, record.sinceMs + this.deadAfterMs);
    }
    this.unlistedAlive += this.isUnlistedAlive(record) ? 1 : 0;
    if (this.records.size > MAX_MEMBER_RECORDS) {
      this.removeOldest();
    }
  }

  private remove(memberId: string): void {
    const record = this.records.get(memberId);
    this.records.delete(memberId);
    this.suspects.delete(memberId);
    if (record !== undefined) {
      this.unlistedAlive -= this.isUnlistedAlive(record) ? 1 : 0;
    }
  }

  private removeOldest(): void {
    for (const memberId of this.records.keys()) {
      this.remove(memberId);
      return;
    }
  }
}

function identityOfMachine(machine: Machine): PeerIdentity {
  const { id, address, controlPort, relayPort, zone, region } = machine;
  return { id, incarnation: 0, address, controlPort, relayPort, zone, region };
}
