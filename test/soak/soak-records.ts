/** Records of soaks, for tests of their judges. */
import type { SoakRecord } from '../../tools/soak/soak-record.js';
import { SOAK_TERMS } from '../../tools/soak/soak-terms.js';

/** A soak of 60 s in which nothing was called and nothing happened, but for `changes`. */
export function soakRecordOf(changes: Partial<SoakRecord>): SoakRecord {
  return {
    beganAt: '2000-01-01T00:00:00.000Z',
    calls: [],
    arrivals: [],
    windows: [],
    stops: [],
    reloads: [],
    crashes: [],
    limits: [],
    silences: [],
    callerSilences: [],
    configuredAtMs: new Map(),
    drainedAtMs: new Map(),
    serviceOfMachine: ['reads', 'orders'],
    pauses: [],
    coreTimes: [],
    ownEnds: [],
    calmFromMs: 1_000,
    endedAtMs: 60_000,
    terms: SOAK_TERMS,
    ...changes,
  };
}
