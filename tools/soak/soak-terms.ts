/** What the users' pages bound, for the nodes of a soak and for its judges. */
import type { SoakTerms } from './soak-record.js';

/** The bounds that the soak holds its nodes to, as the users' pages set them. */
export const SOAK_TERMS: SoakTerms = {
  contactMs: 3_000,
  configApplyMs: 2_000,
  rollbackSlackMs: 250,
  drainMs: 2_000,
  graceMs: 6_000,
  lossSlackMs: 200,
  recoveryMs: 5_000,
  idleTimeoutMs: 15_000,
  maxAttempts: 2,
  routeLifeInConfigurations: 3,
};
