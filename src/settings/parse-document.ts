/** Reads YAML or JSON text. JSON is read as YAML, of which it is a part. */
import { parseDocument } from 'yaml';

/** Aliases that one document may expand to; guards against exponential growth. */
const MAX_ALIASES = 100;

/** Text that is neither YAML nor JSON. The message names line and column, never the content. */
export class DocumentSyntaxError extends Error {
  override readonly name = 'DocumentSyntaxError';
  readonly code = 'INVALID_SYNTAX';
}

/** The value that `text` stands for; throws {@link DocumentSyntaxError}. */
export function parseDocumentText(text: string): unknown {
  const document = parseDocument(text, { prettyErrors: true, uniqueKeys: true });
  const error = document.errors[0];
  if (error !== undefined) {
    const position = error.linePos?.[0];
    const place = position === undefined ? '' : ` at line ${position.line}, column ${position.col}`;
    throw new DocumentSyntaxError(`expected YAML or JSON; ${error.code}${place}`);
  }
  try {
    return document.toJS({ maxAliasCount: MAX_ALIASES }) as unknown;
  } catch {
    throw new DocumentSyntaxError(`expected at most ${MAX_ALIASES} aliases, all of them resolved`);
  }
}
