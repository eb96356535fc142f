/** Parses YAML or JSON text. JSON is parsed as YAML, of which it is a subset. */
import { parseDocument } from 'yaml';

/** Maximum number of alias expansions in a document; prevents exponential growth. */
const MAX_ALIASES = 100;

/** Thrown for text that is not valid YAML or JSON. The message has line and column, but none of the content. */
export class DocumentSyntaxError extends Error {
  override readonly name = 'DocumentSyntaxError';
  readonly code = 'INVALID_SYNTAX';
}

/** Parses `text`. Throws {@link DocumentSyntaxError}. */
export function parseDocumentText(text: string): unknown {
  const document = parseDocument(text, { prettyErrors: true, uniqueKeys: true });
  const error = document.errors[0];
  if (error !== undefined) {
    const position = error.linePos?.[0];
    const location =
      position === undefined ? '' : ` at line ${position.line}, column ${position.col}`;
    throw new DocumentSyntaxError(`expected YAML or JSON; ${error.code}${location}`);
  }
  try {
    return document.toJS({ maxAliasCount: MAX_ALIASES }) as unknown;
  } catch {
    throw new DocumentSyntaxError(`expected at most ${MAX_ALIASES} aliases, all of them defined`);
  }
}
