import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import type { z } from 'zod';
import { SettingsError } from '../errors/SettingsError.js';
import type { SettingsProblem } from '../errors/SettingsError.js';
import { describeIssue } from './describeIssue.js';
import { findDeepNesting } from './findDeepNesting.js';
import { findDuplicateFields } from './findDuplicateFields.js';
import { toJsonSchema } from './toJsonSchema.js';

/** The parser is recursive and overflows the stack at a few thousand levels. */
const MAX_NESTING = 100;
const NO_FIELD_DETAILS = { value: undefined, unit: undefined, allowed: undefined };

function locate(text: string, offset: number): { line: number; column: number } {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}

/** Node of the longest prefix of the path that exists in the file. */
function nearestNode(root: Node | undefined, path: readonly PropertyKey[]): Node | undefined {
  for (let { length } = path; length >= 0 && root !== undefined; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length) as (string | number)[]);
    if (node !== undefined) {
      return node;
    }
  }
  return root;
}

/** Formats a problem as one line: position, field, message, value, unit and allowed values. */
function formatProblem(fileName: string, problem: SettingsProblem): string {
  const { line, column, path, message, value, unit, allowed } = problem;
  const details = [
    value === undefined ? [] : [`value: ${value}`],
    unit === undefined ? [] : [`unit: ${unit}`],
    allowed === undefined ? [] : [`allowed: ${allowed}`],
  ].flat();
  const field = path === '' ? '' : `${path}: `;
  const suffix = details.length === 0 ? '' : ` (${details.join('; ')})`;
  return `${fileName}:${line}:${column}: ${field}${message}${suffix}`;
}

/**
 * Parses a JSON file with comments and validates it against a schema.
 *
 * @throws SettingsError that lists line, column, field, value, unit and allowed values of every
 * problem; values of secret fields are hidden
 */
export function parseJsonc<Schema extends z.ZodType>(
  fileName: string,
  text: string,
  schema: Schema,
): z.infer<Schema> {
  const deepOffset = findDeepNesting(text, MAX_NESTING);
  if (deepOffset !== undefined) {
    const problem: SettingsProblem = {
      path: '',
      ...locate(text, deepOffset),
      message: `The file is nested more than ${MAX_NESTING} levels deep`,
      ...NO_FIELD_DETAILS,
    };
    throw new SettingsError(formatProblem(fileName, problem), { props: { problems: [problem] } });
  }
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  const root = parseTree(text, [], { allowTrailingComma: true });
  const syntaxProblems: SettingsProblem[] = errors.map(({ error, offset }) => ({
    path: '',
    ...locate(text, offset),
    message: printParseErrorCode(error),
    ...NO_FIELD_DETAILS,
  }));
  const duplicates: SettingsProblem[] = findDuplicateFields(root).map((node) => ({
    path: String(node.children?.[0]?.value),
    ...locate(text, node.offset),
    message: 'The field occurs twice',
    ...NO_FIELD_DETAILS,
  }));
  const result = schema.safeParse(value);
  const jsonSchema = result.success ? {} : toJsonSchema(schema);
  const schemaProblems: SettingsProblem[] = (result.error?.issues ?? [])
    .flatMap((issue) => describeIssue(issue, value, jsonSchema))
    .map((issue) => ({
      ...issue,
      path: issue.path.join('.'),
      ...locate(text, nearestNode(root, issue.path)?.offset ?? 0),
    }));
  const problems = syntaxProblems.length > 0 ? syntaxProblems : [...duplicates, ...schemaProblems];
  if (problems.length > 0 || !result.success) {
    const lines = problems.map((problem) => formatProblem(fileName, problem));
    throw new SettingsError(lines.join('\n'), { props: { problems } });
  }
  return result.data;
}
