/**
 * Structured logs: one JSON object per line, one line per state change. Only the library's core is
 * loaded: its terminal reporters are not used and would slow down every start.
 */
import { createConsola, type ConsolaReporter, type LogType } from 'consola/core';

/** Minimum severity that is written. */
export type LogLevelName = 'error' | 'warn' | 'info' | 'debug';

/** Fields of a line; values must not contain secrets. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines. `event` names the state change in lower-case words joined by `-`. */
export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
}

/** Receives formatted lines, each with its line terminator. */
export interface LineSink {
  write(line: string): unknown;
}

const CONSOLA_LEVELS: Readonly<Record<LogLevelName, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Creates a logger that writes JSON lines to `sink`, with the `base` fields on every line. */
export function createLogger(
  level: LogLevelName,
  base: LogFields = {},
  sink: LineSink = process.stdout,
): Logger {
  const consola = createConsola({
    level: CONSOLA_LEVELS[level],
    reporters: [jsonReporter(base, sink)],
    // Repeated lines must not be merged with the preceding one.
    throttle: 0,
  });
  const write = (type: Extract<LogType, LogLevelName>): Logger['info'] => {
    return (event, fields = {}) => {
      consola[type]({ message: event, args: [fields] });
    };
  };
  return { error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug') };
}

function jsonReporter(base: LogFields, sink: LineSink): ConsolaReporter {
  return {
    log: (entry) => {
      const [first, second] = entry.args as unknown[];
      const event = typeof first === 'string' ? first : 'log';
      const fields = typeof second === 'object' ? second : {};
      const line = { ...base, ...fields, time: entry.date.toISOString(), level: entry.type, event };
      sink.write(`${JSON.stringify(line)}\n`);
    },
  };
}
