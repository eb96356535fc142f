/** Exit codes of every command; part of the interface for scripts. */
export enum ExitCode {
  /** The command did what it was asked to do; for `node`, a planned stop. */
  Success = 0,
  /** An unexpected failure of the program itself. */
  InternalError = 1,
  /** Unknown command, flag or argument. */
  Usage = 2,
  /** Settings, a configuration document or a resource is not valid. */
  InvalidInput = 3,
  /** No answer from the node's admin address. */
  Unreachable = 4,
  /** The node refused the token, or wants one. */
  Unauthorized = 5,
  /** There is no such resource. */
  NotFound = 6,
  /** The resource is not at the version that the write expected; nothing was written. */
  Conflict = 7,
  /** The write was not accepted; it is safe to send again. */
  NotAccepted = 8,
  /** The write may have been accepted; read the resource before sending it again. */
  MayBeAccepted = 9,
  /** The watch can not be resumed from there, or was dropped: list again. */
  ListAgain = 10,
  /** The node was stopped by force, or could not finish its planned stop. */
  ForcedStop = 130,
}

/** Lines for the help text, one for each code. */
export const EXIT_CODE_HELP: readonly (readonly [ExitCode, string])[] = [
  [ExitCode.Success, 'done; for node: a planned stop'],
  [ExitCode.InternalError, 'unexpected failure of the program'],
  [ExitCode.Usage, 'unknown command, flag or argument'],
  [ExitCode.InvalidInput, 'settings, configuration document or resource not valid'],
  [ExitCode.Unreachable, "no answer from the node's admin address"],
  [ExitCode.Unauthorized, 'token missing or refused'],
  [ExitCode.NotFound, 'no such resource'],
  [ExitCode.Conflict, 'resource is at another version; nothing written'],
  [ExitCode.NotAccepted, 'write not accepted; safe to send again'],
  [ExitCode.MayBeAccepted, 'write may have been accepted; read before sending again'],
  [ExitCode.ListAgain, 'watch can not go on from there; list again'],
  [ExitCode.ForcedStop, 'node stopped by force'],
];
