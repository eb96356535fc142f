/**
 * Claims about members that differ from "listed and alive". A listed machine without a record
 * counts as alive, so the table stays small in a healthy fleet.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Machine } from '../model/machine.js';
import type { MemberStatus, MemberUpdate } from '../wire/message.js';
import type { MachineIndex } from './machine-index.js';
import type { PeerIdentity } from './peer-identity.js';

/** Maximum number of records. */
export const MAX_MEMBER_RECORDS = 4_096;
/** Maximum number of alive members that are not in the machine list. */
export const MAX_UNLISTED_MEMBERS = 256;
/** Retention time of a settled record, in milliseconds. */
export const MEMBER_RETENTION_MS = 900_000;
/** Interval between sweeps for settled records, in milliseconds. */
export const MEMBER_SWEEP_INTERVAL_MS = 60_000;

const STATUS_RANK: Record<MemberStatus, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

/** The recorded claim about one member. */
export interface MemberRecord {
  readonly identity: PeerIdentity;
  readonly status: MemberStatus;
  /** Time at which the claim was recorded, in milliseconds. */
  readonly sinceMs: number;
}

/** Whether `update` takes precedence over `held`: higher incarnation, then higher status rank. */
export function outranks(update: MemberUpdate, held: MemberUpdate): boolean {
  const newer = update.member.incarnation - held.member.incarnation;
  if (newer !== 0) {
    return newer > 0;
  }
  return STATUS_RANK[update.status] > STATUS_RANK[held.status];
}

/** Table of the claims about other members. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();
  /** Time at which each suspect is declared dead, in ascending order. */
  private readonly suspects = new Map<string, number>();
  private unlistedAlive = 0;
  private machines: MachineIndex;

  /** `deadAfterMs`: time that a suspect has to refute the suspicion. */
  constructor(
    machines: MachineIndex,
    private readonly deadAfterMs: number,
  ) {
    this.machines = machines;
  }

  get size(): number {
    return this.records.size;
  }

  /** Replaces the machine list. */
  setMachines(machines: MachineIndex): void {
    this.machines = machines;
    this.unlistedAlive = 0;
    for (const record of this.records.values()) {
      this.unlistedAlive += this.isUnlistedAlive(record) ? 1 : 0;
    }
  }

  record(memberId: string): MemberRecord | undefined {
    return this.records.get(memberId);
  }

  all(): IterableIterator<MemberRecord> {
    return this.records.values();
  }

  /**
   * Applies a claim. Returns the recorded claim, to be propagated, or undefined if nothing changed.
   * A claim that an alive member is dead is recorded as a suspicion, so that the accused member
   * always has time to refute it.
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

  /** Status of a member; undefined if it is neither listed nor recorded. */
  status(memberId: string): MemberStatus | undefined {
    const machine = this.machines.byId.get(memberId);
    const record = this.records.get(memberId);
    if (machine?.state === 'leaving' && record?.status !== 'dead') {
      return 'leaving';
    }
    return record?.status ?? (machine === undefined ? undefined : 'alive');
  }

  /** Time of the next expiry of a suspicion, in milliseconds; see {@link expire}. */
  nextExpiryAt(): number {
    for (const expiresAt of this.suspects.values()) {
      return expiresAt;
    }
    return Infinity;
  }

  /** Declares dead the suspects that did not refute in time; returns them. */
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

  /** Restarts the refutation timeout of every suspect after a pause of this process. */
  restartTimeouts(nowMs: number): void {
    for (const memberId of this.suspects.keys()) {
      this.suspects.set(memberId, nowMs + this.deadAfterMs);
    }
  }

  /** A random dead member, chosen uniformly; undefined if there is none. */
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

  /** Removes settled records, listed or not, after the retention time. */
  sweep(nowMs: number): void {
    for (const [memberId, record] of this.records) {
      if (nowMs - record.sinceMs >= MEMBER_RETENTION_MS && this.isSettled(record)) {
        this.remove(memberId);
      }
    }
  }

  /** Peer identity of a machine: from its record, else from the machine list. */
  identityOf(memberId: string): PeerIdentity | undefined {
    const record = this.records.get(memberId);
    const machine = this.machines.byId.get(memberId);
    return record?.identity ?? (machine === undefined ? undefined : identityOfMachine(machine));
  }

  /** Precedence rule between a new claim and the recorded one. */
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
