/** A process of hollow nodes as a program: its options come as one JSON argument. */
import { runProgram } from '../../standins/shared/run-program.js';
import { HollowProcess, type HollowProcessOptions } from './hollow-process.js';

const options = JSON.parse(process.argv[2] ?? '{}') as HollowProcessOptions;
runProgram(await HollowProcess.open(options));
