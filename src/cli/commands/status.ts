/** `ferryspool status`: shows what one node holds and knows. */
import type { z } from 'zod';
import { readAnswer, statusAnswerSchema } from '../admin-answer.js';
import { createAdminClient } from '../admin-client.js';
import type { Command } from '../command.js';
import { ExitCode } from '../exit-code.js';
import { requireAtMost } from '../resource-path.js';

type Status = z.infer<typeof statusAnswerSchema>;

/** Shows the status of the node at the address. */
export const statusCommand: Command = async (context) => {
  requireAtMost(context.parameters, 0);
  const answer = await createAdminClient(context).call({ method: 'GET', path: '/v1/status' });
  context.output.write(
    context.flags.json === true
      ? `${JSON.stringify(answer)}\n`
      : `${statusLines(readAnswer(statusAnswerSchema, answer)).join('\n')}\n`,
  );
  return ExitCode.Success;
};

function statusLines({ node, uptimeMs, held, convergence, ...rest }: Status): string[] {
  const versions = Object.entries(held).map(([document, { number }]) => `${document} ${number}`);
  const endpoints = rest.endpoints.map(({ state }) => state);
  return [
    `node         ${node.id} at ${node.address}, zone ${node.zone}, region ${node.region}`,
    `uptime       ${Math.floor(uptimeMs / 1_000)} s`,
    `holds        ${versions.join(', ')}`,
    `source       ${sourceText(rest.source)}`,
    `members      ${countText(rest.members.map(({ status }) => status))}`,
    `endpoints    ${countText(endpoints)}`,
    `convergence  ${convergence.neighboursAtHeldVersions} of ${convergence.neighbours} neighbours`,
    ...rest.endpoints.flatMap(limitLines),
    ...rest.suspended.map(({ path, reason }) => `suspended    ${path}: ${reason}`),
  ];
}

/** A line for an endpoint that names a rate limit. */
function limitLines({ name, rateLimit }: Status['endpoints'][number]): string[] {
  if (rateLimit === undefined) {
    return [];
  }
  const { maxRatePerS, recentlySent, refused } = rateLimit;
  return [
    `limited      ${name}: ${maxRatePerS} requests/s, ${recentlySent} sent in 4 s, ${refused} refused`,
  ];
}

function sourceText({ isReader, sinceLastAnswerMs, isStale, rejected }: Status['source']): string {
  const parts = [isReader ? 'read by this node' : 'not read by this node'];
  if (sinceLastAnswerMs !== undefined) {
    parts.push(`last answer ${Math.floor(sinceLastAnswerMs / 1_000)} s ago`);
  }
  if (isStale) {
    parts.push('stale');
  }
  if (rejected !== undefined) {
    parts.push(`refused version ${rejected.version.number}: ${rejected.reason}`);
  }
  return parts.join(', ');
}

/** `2 ready, 1 draining` for a list of words. */
function countText(words: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const word of words) {
    counts.set(word, (counts.get(word) ?? 0) + 1);
  }
  const parts = [...counts].map(([word, count]) => `${count} ${word}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}
