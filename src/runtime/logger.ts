/**
 * Structured logs: one JSON object a line, one line for each change of state. The library's core is
 * enough: its reporters for terminals are not used, and each start would pay for them.
 */
import { createConsola, type ConsolaReporter, type LogType } from 'consola/core';

/** Least severe level that is written. */
export type LogLevelName = 'error' | 'warn' | 'info' | 'debug';

/** Details of a line; values must not contain secrets. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes lines. `event` names the change of state in lower-case words joined by `-`. */
export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
}

/** Takes finished lines, each with its line end. */
export interface LineSink {
  write(line: string): unknown;
}

const CONSOLA_LEVELS: Readonly<Record<LogLevelName, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** A logger that writes JSON lines to `sink`, with `base` members on every line. */
export function createLogger(
  level: LogLevelName,
  base: LogFields = {},
  sink: LineSink = process.stdout,
): Logger {
  const consola = createConsola({
    level: CONSOLA_LEVELS[level],
    reporters: [jsonReporter(base, sink)],
    // Every line counts: a repeated line is never folded into the one before.
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
