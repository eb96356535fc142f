/**
 * The voters of operators' writes: which processes count towards a majority, and in which epoch. The
 * configuration is an entry of the operators' document, so that every node learns it with the
 * document, and a change of it is an operation of the log.
 */
import { z } from 'zod';
import { canonicalJson } from '../model/canonical-json.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { VersionedDocument } from '../model/document.js';
import { RESERVED_KEY_PREFIX } from '../model/merge.js';
import { nameSchema } from '../model/resource.js';

/** Key of the configuration's entry in the operators' document. */
export const VOTERS_KEY = `${RESERVED_KEY_PREFIX}voters`;
/** Voters in one configuration at most. */
export const MAX_VOTERS = 7;

const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/**
 * One voter. A process that restarts has another incarnation and is therefore not this voter any
 * more: promises made before a restart can not be broken after it.
 */
export const voterSchema = z.strictObject({
  id: nameSchema,
  incarnation: count,
  address: z.union([z.ipv4(), z.ipv6()]),
  controlPort: z.number().int().min(0).max(65_535),
  zone: z.string(),
});

export type Voter = z.infer<typeof voterSchema>;

/** Voters of one epoch, and the formation round from which the first epoch of the group stems. */
export const voterConfigurationSchema = z.strictObject({
  /** Rises by one with each configuration. */
  epoch: count,
  /** Round of the formation that made the group; see `formation.ts`. */
  round: count,
  voters: z.array(voterSchema).min(1).max(MAX_VOTERS),
});

export type VoterConfiguration = z.infer<typeof voterConfigurationSchema>;

const parsed = new WeakMap<VersionedDocument, { value: VoterConfiguration | undefined }>();

/** The configuration that a document carries; undefined when it carries none that is well formed. */
export function configurationOf(document: VersionedDocument): VoterConfiguration | undefined {
  let known = parsed.get(document);
  if (known === undefined) {
    known = { value: parseConfiguration(document) };
    parsed.set(document, known);
  }
  return known.value;
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

/** The entry that carries a configuration. */
export function configurationEntry(configuration: VoterConfiguration): {
  key: string;
  json: string;
} {
  return { key: VOTERS_KEY, json: canonicalJson(configuration) };
}

/** Voters that make a majority of `configuration`. */
export function majorityOf(configuration: VoterConfiguration): number {
  return Math.floor(configuration.voters.length / 2) + 1;
}

/** Whether exactly this incarnation of this machine's process is a voter. */
export function isVoter(
  configuration: VoterConfiguration,
  process: Pick<Voter, 'id' | 'incarnation'>,
): boolean {
  return configuration.voters.some(
    (voter) => voter.id === process.id && voter.incarnation === process.incarnation,
  );
}

/** Whether two configurations name the same voters of the same epoch. */
export function isSameConfiguration(left: VoterConfiguration, right: VoterConfiguration): boolean {
  return canonicalJson(left) === canonicalJson(right);
}

/** The primary of a view. */
export function primaryOfView(configuration: VoterConfiguration, view: number): Voter {
  const voter = configuration.voters[view % configuration.voters.length];
  if (voter === undefined) {
    throw new RangeError('a configuration without voters');
  }
  return voter;
}

/** The voter that a process becomes. */
export function voterOf(identity: PeerIdentity): Voter {
  const { id, incarnation, address, controlPort, zone } = identity;
  return { id, incarnation, address, controlPort, zone };
}
