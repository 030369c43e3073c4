import { parse, parseTree, findNodeAtLocation, printParseErrorCode } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import type { z } from 'zod';
import { SettingsError } from '../errors/SettingsError.js';
import type { SettingsProblem } from '../errors/SettingsError.js';

function locate(text: string, offset: number): { line: number; column: number } {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}

/** Node of the longest part of the path that exists in the file. */
function nearestNode(root: Node | undefined, path: readonly PropertyKey[]): Node | undefined {
  for (let { length } = path; length >= 0 && root !== undefined; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length) as (string | number)[]);
    if (node !== undefined) {
      return node;
    }
  }
  return root;
}

/**
 * Parses a JSON file with comments and checks it against a schema.
 *
 * @throws SettingsError naming line, field and what is allowed, for every problem
 */
export function parseJsonc<Schema extends z.ZodType>(
  fileName: string,
  text: string,
  schema: Schema,
): z.infer<Schema> {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  const syntaxProblems: SettingsProblem[] = errors.map(({ error, offset }) => ({
    path: '',
    ...locate(text, offset),
    message: printParseErrorCode(error),
  }));
  const result = schema.safeParse(value);
  const root = parseTree(text, [], { allowTrailingComma: true });
  const schemaProblems: SettingsProblem[] = (result.error?.issues ?? []).map((issue) => ({
    path: issue.path.join('.'),
    ...locate(text, nearestNode(root, issue.path)?.offset ?? 0),
    message: issue.message,
  }));
  const problems = syntaxProblems.length > 0 ? syntaxProblems : schemaProblems;
  if (problems.length > 0 || !result.success) {
    const lines = problems.map(
      ({ line, column, path, message }) =>
        `${fileName}:${line}:${column}: ${path === '' ? '' : `${path}: `}${message}`,
    );
    throw new SettingsError(lines.join('\n'), { props: { problems } });
  }
  return result.data;
}
