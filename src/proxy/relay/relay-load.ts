/** Conversion between load reports and the load fields of frames. */
import type { LoadReport } from '../call.js';
import type { FrameLoad } from './relay-frame.js';

const PERCENT = 100;
/** Reported if the load is unknown. */
export const UNKNOWN_LOAD: LoadReport = { inFlight: 0, slots: 0, draining: false };

export function frameLoadOf(load: LoadReport, isNodeStopping: boolean): FrameLoad {
  return {
    inFlight: Math.round(load.inFlight),
    slots: Math.round(load.slots),
    isDraining: load.draining,
    isNodeStopping,
    failedPercent: Math.round((load.failureShare ?? 0) * PERCENT),
    serviceMs: load.serviceMs === undefined ? undefined : Math.round(load.serviceMs),
  };
}

export function loadOf(frame: FrameLoad): LoadReport {
  const { inFlight, slots, isDraining: draining, isNodeStopping, serviceMs } = frame;
  const failureShare = Math.min(1, frame.failedPercent / PERCENT);
  return { inFlight, slots, draining, isNodeStopping, failureShare, serviceMs };
}
