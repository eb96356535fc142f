/** The parsed machines document, indexed by id, zone and region. Immutable, so it can be shared. */
import { fleetGroupOf } from '../control/fleet-group.js';
import { MAX_OLDEST_MACHINES } from '../control/control-ports.js';
import { canonicalJson } from '../model/canonical-json.js';
import {
  InvalidConfigurationError,
  type ConfigurationFault,
} from '../model/configuration-error.js';
import type { VersionedDocument } from '../model/document.js';
import { machineSchema, type Machine } from '../model/machine.js';

/** Key of a machine's entry in the machines document. */
export function machineKey(machineId: string): string {
  return `machine/${machineId}`;
}

/** Entries of a machines document: key to canonical JSON text. */
export function machineValues(machines: readonly Machine[]): Map<string, string> {
  return new Map(machines.map((machine) => [machineKey(machine.id), canonicalJson(machine)]));
}

/** Index of the machines in a machines document. */
export class MachineIndex {
  static readonly EMPTY = new MachineIndex([]);

  readonly byId: ReadonlyMap<string, Machine>;
  /** All machines, in ascending order of seniority number. */
  private readonly bySeniority: readonly Machine[];
  /** Oldest machines of each group, keyed by the number of groups. */
  private readonly oldestByGroups = new Map<number, readonly (readonly Machine[])[]>();
  private readonly zones = new Map<string, Machine[]>();
  private readonly zoneNamesByRegion = new Map<string, string[]>();
  private readonly regions = new Map<string, Machine[]>();

  constructor(machines: readonly Machine[]) {
    this.byId = new Map(machines.map((machine) => [machine.id, machine]));
    const sorted = [...machines].sort(bySeniority);
    this.bySeniority = sorted;
    for (const machine of sorted) {
      if (!this.zones.has(machine.zone)) {
        append(this.zoneNamesByRegion, machine.region, machine.zone);
      }
      append(this.zones, machine.zone, machine);
      append(this.regions, machine.region, machine);
    }
  }

  /**
   * Parses a machines document; throws an {@link InvalidConfigurationError} that lists every fault.
   */
  static parse(document: VersionedDocument): MachineIndex {
    const faults: ConfigurationFault[] = [];
    const machines: Machine[] = [];
    for (const { key, json } of document.entries.values()) {
      const machine = parseMachine(key, json, faults);
      if (machine !== undefined) {
        machines.push(machine);
      }
    }
    if (faults.length > 0) {
      throw new InvalidConfigurationError(faults);
    }
    return new MachineIndex(machines);
  }

  /** Machines of a zone, in ascending order of seniority number. */
  inZone(zone: string): readonly Machine[] {
    return this.zones.get(zone) ?? [];
  }

  /** Machines of a region, in ascending order of seniority number. */
  inRegion(region: string): readonly Machine[] {
    return this.regions.get(region) ?? [];
  }

  /** The oldest machines of a group, in ascending order of seniority number. */
  oldestOf(group: number, groups: number): readonly Machine[] {
    let oldest = this.oldestByGroups.get(groups);
    if (oldest === undefined) {
      oldest = this.findOldest(groups);
      this.oldestByGroups.set(groups, oldest);
    }
    return oldest[group] ?? [];
  }

  private findOldest(groups: number): Machine[][] {
    const oldest = Array.from({ length: groups }, (): Machine[] => []);
    for (const machine of this.bySeniority) {
      const members = oldest[fleetGroupOf(machine.id, groups)];
      if (members !== undefined && members.length < MAX_OLDEST_MACHINES) {
        members.push(machine);
      }
    }
    return oldest;
  }

  zonesOf(region: string): readonly string[] {
    return this.zoneNamesByRegion.get(region) ?? [];
  }

  regionNames(): string[] {
    return [...this.regions.keys()];
  }
}

function parseMachine(
  key: string,
  json: string,
  faults: ConfigurationFault[],
): Machine | undefined {
  const parsed = machineSchema.safeParse(parseJson(json));
  if (!parsed.success) {
    for (const issue of parsed.error.issues) {
      faults.push({ path: [key, ...issue.path].join('.'), reason: issue.message });
    }
    return undefined;
  }
  if (machineKey(parsed.data.id) !== key) {
    faults.push({ path: key, reason: 'key does not match the machine id' });
    return undefined;
  }
  return parsed.data;
}

function parseJson(json: string): unknown {
  try {
    return JSON.parse(json);
  } catch {
    return undefined;
  }
}

function bySeniority(left: Machine, right: Machine): number {
  if (left.seniority !== right.seniority) {
    return left.seniority - right.seniority;
  }
  return left.id < right.id ? -1 : 1;
}

function append<Key, Value>(map: Map<Key, Value[]>, key: Key, value: Value): void {
  const list = map.get(key);
  if (list === undefined) {
    map.set(key, [value]);
  } else {
    list.push(value);
  }
}
