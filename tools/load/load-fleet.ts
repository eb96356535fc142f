/** Starts a fleet for an experiment and waits until its nodes serve. */
import { randomBytes, randomInt } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from '../demo/deployment.js';
import { planFleet } from '../demo/fleet-plan.js';
import { Fleet } from '../demo/fleet.js';

const FLEET_KEY_BYTES = 24;
/** Time for the cold start of a fleet, in milliseconds. */
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 100;

/** Thrown when a fleet does not come up in time. */
export class FleetStartError extends Error {
  override readonly name = 'FleetStartError';
  readonly code = 'FLEET_START';
}

/** Runs `experiment` on a fleet of `deployment`, and ends the fleet whatever happens. */
export async function withFleet<Result>(
  deployment: Deployment,
  experiment: (fleet: Fleet) => Promise<Result>,
): Promise<Result> {
  const network = `127.${randomInt(16, 255)}.${randomInt(1, 255)}`;
  const fleetKey = randomBytes(FLEET_KEY_BYTES).toString('hex');
  const fleet = new Fleet(planFleet(deployment, network, fleetKey));
  const killAll = (): void => fleet.killAll();
  process.once('exit', killAll);
  try {
    await fleet.startOutside();
    await fleet.startNodes();
    await waitUntilConfigured(fleet);
    return await experiment(fleet);
  } finally {
    await fleet.end();
    process.off('exit', killAll);
  }
}

async function waitUntilConfigured(fleet: Fleet): Promise<void> {
  const endsAtMs = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < endsAtMs) {
    const statuses = await Promise.all(fleet.nodes.map((node) => fleet.status(node)));
    if (statuses.every((status) => (status?.held.source.number ?? 0) > 0)) {
      return;
    }
    await delay(POLL_MS);
  }
  throw new FleetStartError(`the fleet held no configuration after ${START_TIMEOUT_MS} ms`);
}
