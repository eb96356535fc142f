/**
 * The voters of operators' writes: the processes that count towards a majority, and their epoch.
 * The configuration is an entry of the operators' document, so that every node receives it with the
 * document and a change of it is an operation of the log.
 */
import { z } from 'zod';
import { canonicalJson } from '../model/canonical-json.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { VersionedDocument } from '../model/document.js';
import { RESERVED_KEY_PREFIX } from '../model/merge.js';
import { nameSchema } from '../model/resource.js';

/** Key of the configuration's entry in the operators' document. */
export const VOTERS_KEY = `${RESERVED_KEY_PREFIX}voters`;
/** Maximum number of voters in one configuration. */
export const MAX_VOTERS = 7;

const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/**
 * One voter. A restarted process has another incarnation and is therefore no longer this voter, so
 * it can not break promises that were made before the restart.
 */
export const voterSchema = z.strictObject({
  id: nameSchema,
  incarnation: count,
  address: z.union([z.ipv4(), z.ipv6()]),
  controlPort: z.number().int().min(0).max(65_535),
  zone: z.string(),
});

export type Voter = z.infer<typeof voterSchema>;

/** Voters of one epoch, and the formation round that created the group. */
export const voterConfigurationSchema = z.strictObject({
  /** Increases by one with each configuration. */
  epoch: count,
  /** Round of the formation that created the group; see `formation.ts`. */
  round: count,
  voters: z.array(voterSchema).min(1).max(MAX_VOTERS),
});

export type VoterConfiguration = z.infer<typeof voterConfigurationSchema>;

const parsedConfigurations = new WeakMap<
  VersionedDocument,
  { value: VoterConfiguration | undefined }
>();

/** The configuration in a document; undefined if there is none or it is malformed. */
export function configurationOf(document: VersionedDocument): VoterConfiguration | undefined {
  let cached = parsedConfigurations.get(document);
  if (cached === undefined) {
    cached = { value: parseConfiguration(document) };
    parsedConfigurations.set(document, cached);
  }
  return cached.value;
}

function parseConfiguration(document: VersionedDocument): VoterConfiguration | undefined {
  const entry = document.entries.get(VOTERS_KEY);
  if (entry === undefined) {
    return undefined;
  }
  try {
    return voterConfigurationSchema.parse(JSON.parse(entry.json));
  } catch {
    return undefined;
  }
}

/** The document entry that contains a configuration. */
export function configurationEntry(configuration: VoterConfiguration): {
  key: string;
  json: string;
} {
  return { key: VOTERS_KEY, json: canonicalJson(configuration) };
}

/** Number of voters that form a majority of `configuration`. */
export function majorityOf(configuration: VoterConfiguration): number {
  return Math.floor(configuration.voters.length / 2) + 1;
}

/** Whether this incarnation of the machine's process is a voter. */
export function isVoter(
  configuration: VoterConfiguration,
  process: Pick<Voter, 'id' | 'incarnation'>,
): boolean {
  return configuration.voters.some(
    (voter) => voter.id === process.id && voter.incarnation === process.incarnation,
  );
}

/** Whether two configurations have the same epoch, round and voters. */
export function isSameConfiguration(left: VoterConfiguration, right: VoterConfiguration): boolean {
  return canonicalJson(left) === canonicalJson(right);
}

export function primaryOfView(configuration: VoterConfiguration, view: number): Voter {
  const voter = configuration.voters[view % configuration.voters.length];
  if (voter === undefined) {
    throw new RangeError('voter configuration has no voters');
  }
  return voter;
}

/** The voter entry of a process. */
export function voterOf(identity: PeerIdentity): Voter {
  const { id, incarnation, address, controlPort, zone } = identity;
  return { id, incarnation, address, controlPort, zone };
}
