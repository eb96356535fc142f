/** Reads the command line with meow. Help, version and unknown flags end the process there. */
import meow from 'meow';
import type { CommandFlags } from './command.js';
import { helpText } from './help.js';

/** The command line, read. */
export interface ParsedArguments {
  /** Name of the subcommand; undefined when none was given. */
  readonly command: string | undefined;
  readonly parameters: readonly string[];
  readonly flags: CommandFlags;
}

const text = { type: 'string' } as const;
const list = { type: 'string', isMultiple: true } as const;
const toggle = { type: 'boolean' } as const;

/** Parses `argv`, the arguments after the program's name. */
export function parseArguments(argv: readonly string[]): ParsedArguments {
  const cli = meow(helpText(), {
    importMeta: import.meta,
    argv: [...argv],
    allowUnknownFlags: false,
    flags: {
      settings: text,
      set: list,
      machineId: text,
      machineAddress: text,
      zone: text,
      region: text,
      callerPort: text,
      relayPort: text,
      controlPort: text,
      adminPort: text,
      seed: list,
      logLevel: text,
      print: toggle,
      json: toggle,
      address: text,
      token: text,
      from: text,
      ifMatch: text,
      create: toggle,
    },
  });
  const [command, ...parameters] = cli.input;
  return { command, parameters, flags: cli.flags };
}
