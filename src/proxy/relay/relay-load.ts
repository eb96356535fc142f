/** Conversion between load reports and the load fields of frames. */
import type { SlownessReport } from '../../admission/reported-slowness.js';
import type { FreeSlotAnnouncement } from '../../routing/free-slot-announcements.js';
import type { LoadReport } from '../call.js';
import { UNLIMITED_RATE, type FrameLoad, type FreeSlotsFrame } from './relay-frame.js';

const PERCENT = 100;
const SECONDS_PER_KS = 1_000;
/** Reported if the load is unknown. */
export const UNKNOWN_LOAD: LoadReport = { inFlight: 0, slots: 0, draining: false };

export function frameLoadOf(load: LoadReport, isNodeStopping: boolean): FrameLoad {
  return {
    inFlight: Math.round(load.inFlight),
    slots: Math.round(load.slots),
    isDraining: load.draining,
    isNodeStopping,
    leavingIncarnation: load.leavingIncarnation ?? '',
    failedPercent: Math.round((load.failureShare ?? 0) * PERCENT),
    serviceMs: load.serviceMs === undefined ? undefined : Math.round(load.serviceMs),
    maxRatePerKs: ratePerKsOf(load.maxRatePerS),
    slownessPercent: load.slowness?.percent,
    slownessAgeMs: Math.round(load.slowness?.ageMs ?? 0),
  };
}

export function freeSlotsFrameOf(announcement: FreeSlotAnnouncement): FreeSlotsFrame {
  const { service, incarnation, freeSlots, slowness } = announcement;
  return {
    kind: 'free-slots',
    ...{ service, incarnation, freeSlots },
    slownessPercent: slowness?.percent,
    slownessAgeMs: Math.round(slowness?.ageMs ?? 0),
  };
}

export function announcementOf(frame: FreeSlotsFrame): FreeSlotAnnouncement {
  const { service, incarnation, freeSlots } = frame;
  return { service, incarnation, freeSlots, slowness: slownessOf(frame) };
}

/** The rate limit as sent in frames; undefined if it is not known. */
export function ratePerKsOf(maxRatePerS: number | undefined): number | undefined {
  if (maxRatePerS === undefined) {
    return undefined;
  }
  return maxRatePerS === Infinity ? UNLIMITED_RATE : Math.round(maxRatePerS * SECONDS_PER_KS);
}

export function ratePerSOf(ratePerKs: number | undefined): number | undefined {
  if (ratePerKs === undefined) {
    return undefined;
  }
  return ratePerKs < 0 ? Infinity : ratePerKs / SECONDS_PER_KS;
}

export function loadOf(frame: FrameLoad): LoadReport {
  const { inFlight, slots, isDraining: draining, isNodeStopping, serviceMs } = frame;
  const failureShare = Math.min(1, frame.failedPercent / PERCENT);
  const maxRatePerS = ratePerSOf(frame.maxRatePerKs);
  const slowness = slownessOf(frame);
  const leavingIncarnation = frame.leavingIncarnation || undefined;
  return {
    ...{ inFlight, slots, draining, isNodeStopping, leavingIncarnation },
    ...{ failureShare, serviceMs, maxRatePerS, slowness },
  };
}

function slownessOf({
  slownessPercent,
  slownessAgeMs,
}: FrameLoad | FreeSlotsFrame): SlownessReport | undefined {
  return slownessPercent === undefined
    ? undefined
    : { percent: slownessPercent, ageMs: slownessAgeMs };
}
