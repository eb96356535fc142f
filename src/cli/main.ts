#!/usr/bin/env node
/** Entry point of the `ferryspool` program. */
import { runNode } from '../runtime/node.js';
import { parseArguments } from './arguments.js';
import { applyCommand } from './commands/apply.js';
import { checkCommand } from './commands/check.js';
import { explainCommand } from './commands/explain.js';
import { deleteCommand } from './commands/delete.js';
import { getCommand } from './commands/get.js';
import { releaseCommand } from './commands/release.js';
import { statusCommand } from './commands/status.js';
import { suspicionsCommand } from './commands/suspicions.js';
import { watchCommand } from './commands/watch.js';
import { createNodeCommand } from './commands/node.js';
import { runCli, type CommandTable } from './run-cli.js';

const commands: CommandTable = new Map([
  ['check', checkCommand],
  ['get', getCommand],
  ['watch', watchCommand],
  ['status', statusCommand],
  ['apply', applyCommand],
  ['delete', deleteCommand],
  ['explain', explainCommand],
  ['suspicions', suspicionsCommand],
  ['release', releaseCommand],
  ['node', createNodeCommand(runNode, process)],
]);

// A reader that goes away, such as a log collector, must not end the process.
process.stdout.on('error', () => undefined);
process.stderr.on('error', () => undefined);

const interrupt = new AbortController();
process.once('SIGINT', () => interrupt.abort());
const exitCode = await runCli(parseArguments(process.argv.slice(2)), commands, {
  output: process.stdout,
  errors: process.stderr,
  environment: process.env,
  interrupt: interrupt.signal,
});
// Handles that are still open, such as a node stopped by force, must not keep the process.
process.exit(exitCode);
