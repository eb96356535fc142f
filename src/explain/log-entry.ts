/** Parses the logs of nodes. */

export interface LogEntry {
  readonly event: string;
  readonly machine: string;
  /** Time by the machine's clock; clocks differ between machines. */
  readonly time: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** All lines that could be parsed. */
export interface ParsedLog {
  readonly entries: readonly LogEntry[];
  /** Number of lines that are truncated or were not written by a node. */
  readonly skippedLines: number;
}

/** Parses log text. Any prefix before the first brace of a line is ignored. */
export function parseLog(text: string): ParsedLog {
  const entries: LogEntry[] = [];
  let skippedLines = 0;
  for (const line of text.split('\n')) {
    if (line.trim() === '') {
      continue;
    }
    const entry = parseLine(line);
    if (entry === undefined) {
      skippedLines += 1;
    } else {
      entries.push(entry);
    }
  }
  return { entries, skippedLines };
}

function parseLine(line: string): LogEntry | undefined {
  try {
    const value = JSON.parse(line.slice(line.indexOf('{'))) as Record<string, unknown>;
    const { event, machine, time, level, ...fields } = value;
    const isEntry =
      typeof event === 'string' &&
      typeof machine === 'string' &&
      typeof time === 'string' &&
      typeof level === 'string';
    return isEntry ? { event, machine, time, fields } : undefined;
  } catch {
    return undefined;
  }
}
