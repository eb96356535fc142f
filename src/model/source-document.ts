/** The configuration source's document: resources and a version number. */
import { z } from 'zod';
import { canonicalJson } from './canonical-json.js';
import { InvalidConfigurationError } from './configuration-error.js';
import { resourceKey, resourceSchema } from './resource.js';
import { requireConsistentRoutes } from './route-faults.js';
import { buildSnapshot, MAX_RESOURCES, NO_SNAPSHOT_VERSION } from './snapshot.js';

/** Schema of a configuration document, from the source or a file. */
export const sourceDocumentSchema = z.strictObject({
  version: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
  resources: z.array(resourceSchema).max(MAX_RESOURCES),
});

export type SourceDocument = z.infer<typeof sourceDocumentSchema>;

/**
 * Validates the schema, unique names, references and routes of a parsed JSON or YAML value. Throws
 * {@link InvalidConfigurationError}; a document is never accepted in part.
 */
export function parseSourceDocument(value: unknown): SourceDocument {
  const parsed = sourceDocumentSchema.safeParse(value);
  if (!parsed.success) {
    throw new InvalidConfigurationError(
      parsed.error.issues.map((issue) => ({ path: issue.path.join('.'), reason: issue.message })),
    );
  }
  const { routes } = buildSnapshot(NO_SNAPSHOT_VERSION, parsed.data.resources);
  requireConsistentRoutes(routes);
  return parsed.data;
}

/** Returns the document's entries as a map from keys to canonical JSON text. */
export function sourceDocumentValues(document: SourceDocument): Map<string, string> {
  return new Map(
    document.resources.map((resource) => [resourceKey(resource), canonicalJson(resource)]),
  );
}
