/** `ferryspool explain REQUEST-ID [FILE...]`: what the nodes' logs say of one request. */
import { readFileSync } from 'node:fs';
import { parseLog } from '../../explain/log-entry.js';
import { traceRequest } from '../../explain/request-trace.js';
import { formatTrace } from '../../explain/trace-text.js';
import { UsageError, type Command } from '../command.js';
import { ExitCode } from '../exit-code.js';

const STANDARD_INPUT = 0;

/** The command. Without a file it reads standard input. */
export const explainCommand: Command = ({ parameters, output }) => {
  const [requestId, ...files] = parameters;
  if (requestId === undefined) {
    throw new UsageError('explain: expected the id of a request');
  }
  const texts = files.length === 0 ? [readText(STANDARD_INPUT)] : files.map(readText);
  const { entries, skippedLines } = parseLog(texts.join('\n'));
  const steps = traceRequest(entries, requestId);
  output.write(formatTrace(requestId, steps, skippedLines));
  return Promise.resolve(steps.length === 0 ? ExitCode.NotFound : ExitCode.Success);
};

function readText(file: string | number): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new UsageError(`explain: ${error instanceof Error ? error.message : String(error)}`);
  }
}
