/** Divides test files among processes. */

/** One test file and how long it is expected to take. */
export interface TestFile {
  readonly path: string;
  /** Any unit, the same for all files. */
  readonly weight: number;
}

/**
 * Divides `files` into at most `groupCount` groups of about equal weight: the heaviest file first, each
 * to the group that is lightest by then. The same files give the same groups.
 */
export function divideTests(files: readonly TestFile[], groupCount: number): TestFile[][] {
  const groups = Array.from({ length: Math.max(1, groupCount) }, () => ({
    weight: 0,
    files: [] as TestFile[],
  }));
  const ordered = [...files].sort(
    (left, right) => right.weight - left.weight || (left.path < right.path ? -1 : 1),
  );
  for (const file of ordered) {
    const lightest = groups.reduce((best, group) => (group.weight < best.weight ? group : best));
    lightest.weight += file.weight;
    lightest.files.push(file);
  }
  return groups.map((group) => group.files).filter((group) => group.length > 0);
}
