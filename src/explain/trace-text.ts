/** Formats the trace of a request as text. */
import type { NodeState, TraceStep } from './request-trace.js';

/** Fields that are omitted from the second line of a step, because the first line or the request id covers them. */
const HEADING_FIELDS: ReadonlySet<string> = new Set(['request', 'attempt']);

/** Formats three lines per step, or a message if there are no steps. */
export function formatTrace(
  requestId: string,
  steps: readonly TraceStep[],
  skippedLines: number,
): string {
  const lines =
    steps.length === 0 ? [`no log entries for request ${requestId}`] : steps.flatMap(formatStep);
  if (skippedLines > 0) {
    lines.push(`(${skippedLines} lines could not be parsed)`);
  }
  return `${lines.join('\n')}\n`;
}

function formatStep({ entry, state }: TraceStep): string[] {
  const { fields, machine, event, time } = entry;
  const attempt = typeof fields.attempt === 'number' ? ` (attempt ${fields.attempt})` : '';
  const inputs = Object.entries(fields)
    .filter(([name]) => !HEADING_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [
    `${machine} ${event}${attempt} at ${time}`,
    `    ${inputs.join(' ')}`,
    `    ${formatState(state)}`,
  ];
}

function formatState({
  configuration,
  isStoreReachable,
  evacuatedZones,
  unresponsivePeers,
  isStopping,
}: NodeState): string {
  const parts = [
    `configuration ${configuration ?? 'none'}`,
    `store ${isStoreReachable ? 'reached' : 'lost'}`,
    ...(evacuatedZones.length > 0 ? [`evacuated zones ${evacuatedZones.join(', ')}`] : []),
    ...(unresponsivePeers.length > 0 ? [`unresponsive peers ${unresponsivePeers.join(', ')}`] : []),
    ...(isStopping ? ['shutting down'] : []),
  ];
  return `node: ${parts.join('; ')}`;
}
