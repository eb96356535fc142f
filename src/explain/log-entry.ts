/** Lines of nodes' logs, read back. */

/** One line. */
export interface LogEntry {
  readonly event: string;
  readonly machine: string;
  /** As the machine's clock told it; clocks differ between machines. */
  readonly time: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** All lines that could be read. */
export interface LogReading {
  readonly entries: readonly LogEntry[];
  /** Lines that are not a node's, or are cut off. */
  readonly skippedLines: number;
}

/** Reads the text of logs; what stands before the first brace of a line is passed over. */
export function readLog(text: string): LogReading {
  const entries: LogEntry[] = [];
  let skippedLines = 0;
  for (const line of text.split('\n')) {
    if (line.trim() === '') {
      continue;
    }
    const entry = readLine(line);
    if (entry === undefined) {
      skippedLines += 1;
    } else {
      entries.push(entry);
    }
  }
  return { entries, skippedLines };
}

function readLine(line: string): LogEntry | undefined {
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
