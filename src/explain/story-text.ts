/** The text of a request's story. */
import type { MachineState, StoryStep } from './request-story.js';

/** Fields that stand in the first line of a step. */
const NAMING_FIELDS: ReadonlySet<string> = new Set(['request', 'attempt']);

/** One line or two for each step; says so when there is none. */
export function storyText(
  requestId: string,
  steps: readonly StoryStep[],
  skippedLines: number,
): string {
  const lines = steps.length === 0 ? [`no line of request ${requestId}`] : steps.flatMap(stepLines);
  if (skippedLines > 0) {
    lines.push(`(${skippedLines} lines could not be read)`);
  }
  return `${lines.join('\n')}\n`;
}

function stepLines({ entry, state }: StoryStep): string[] {
  const { fields, machine, event, time } = entry;
  const attempt = typeof fields.attempt === 'number' ? ` (attempt ${fields.attempt})` : '';
  const inputs = Object.entries(fields)
    .filter(([name]) => !NAMING_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [
    `${machine} ${event}${attempt} at ${time}`,
    `    ${inputs.join(' ')}`,
    `    ${stateText(state)}`,
  ];
}

function stateText({
  configuration,
  isStoreReached,
  evacuatedZones,
  silentPeers,
  isStopping,
}: MachineState): string {
  const parts = [
    `configuration ${configuration ?? 'none'}`,
    `store ${isStoreReached ? 'reached' : 'lost'}`,
    ...(evacuatedZones.length > 0 ? [`evacuated zones ${evacuatedZones.join(', ')}`] : []),
    ...(silentPeers.length > 0 ? [`silent peers ${silentPeers.join(', ')}`] : []),
    ...(isStopping ? ['about to stop'] : []),
  ];
  return `node: ${parts.join('; ')}`;
}
