// Generates the field tables in docs/*.md from the zod schemas and their doc comments. With
// --check, only compares them with the files. Run with `node --import=tsx`.
import { readFileSync, writeFileSync } from 'node:fs';
import ts from 'typescript';
import {
  allowedValues,
  exceptionInputSchema,
  fleetDefaultsSchema,
  hostSettingsSchema,
  toJsonSchema,
  unitOf,
} from '@camphorbarrow/core';

const check = process.argv.includes('--check');

const tables = [
  {
    file: 'docs/configuration.md',
    name: 'fleet-defaults',
    schema: fleetDefaultsSchema,
    source: 'packages/core/src/config/fleetDefaultsSchema.ts',
  },
  {
    file: 'docs/configuration.md',
    name: 'exceptions',
    schema: exceptionInputSchema,
    source: 'packages/core/src/config/exceptionInputSchema.ts',
    // The fields of `set` are those of the fleet defaults.
    omit: 'set.',
  },
  {
    file: 'docs/settings.md',
    name: 'host-settings',
    schema: hostSettingsSchema,
    source: 'packages/core/src/settings/hostSettingsSchema.ts',
  },
];

/** Maps the dotted path of each field of a schema to its doc comment. */
function readComments(file) {
  const text = readFileSync(file, 'utf8');
  const comments = new Map();
  function visit(node, path) {
    let inner = path;
    if (ts.isPropertyAssignment(node) || ts.isShorthandPropertyAssignment(node)) {
      inner = [...path, node.name.text];
      const ranges = ts.getLeadingCommentRanges(text, node.getFullStart()) ?? [];
      const last = ranges.map(({ pos, end }) => text.slice(pos, end)).at(-1);
      if (last?.startsWith('/**')) {
        const words = last.replace(/^\/\*\*|\*\/$/g, '').replace(/^\s*\* ?/gm, ' ');
        comments.set(inner.join('.'), words.replace(/\s+/g, ' ').trim());
      }
    }
    ts.forEachChild(node, (child) => visit(child, inner));
  }
  visit(ts.createSourceFile(file, text, ts.ScriptTarget.Latest, true), []);
  return comments;
}

/** Finds the doc comment of a field, which may be declared in a shared part of the schema. */
function commentOf(comments, path) {
  const names = path.filter((segment) => !segment.startsWith('<'));
  const found = names.map((_, start) => names.slice(start).join('.')).find((n) => comments.has(n));
  return comments.get(found) ?? '';
}

/** Lists the leaf fields of a schema, each with the default that applies when it is absent. */
function listFields(schema, path, whenAbsent, inherited) {
  const fallback = schema.default ?? inherited;
  if (schema.properties !== undefined) {
    const hasDefault = fallback !== undefined;
    const inside = whenAbsent === 'none' && !hasDefault ? 'required in the section' : 'required';
    return Object.entries(schema.properties).flatMap(([name, child]) =>
      listFields(
        child,
        [...path, name],
        schema.required?.includes(name) === true ? inside : 'none',
        fallback?.[name],
      ),
    );
  }
  if (typeof schema.additionalProperties === 'object' && schema.additionalProperties.properties) {
    return listFields(schema.additionalProperties, [...path, '<name>'], 'required');
  }
  const value = fallback === undefined ? whenAbsent : `\`${JSON.stringify(fallback)}\``;
  return [{ path, schema, value }];
}

function toTable({ schema, source, omit }) {
  const comments = readComments(source);
  const rows = listFields(toJsonSchema(schema), [], 'required')
    .filter(({ path }) => omit === undefined || !path.join('.').startsWith(omit))
    .map(({ path, schema: field, value }) => {
      const cells = [
        `\`${path.join('.')}\``,
        commentOf(comments, path),
        ['integer', 'number'].includes(field.type) ? (unitOf(path.at(-1)) ?? '') : '',
        value,
        allowedValues(field),
      ];
      return `| ${cells.map((cell) => cell.replaceAll('|', '\\|')).join(' | ')} |\n`;
    });
  return `| field | meaning | unit | default | allowed |\n| --- | --- | --- | --- | --- |\n${rows.join('')}`;
}

function replaceTable(text, name, table) {
  const start = `<!-- generated: ${name} -->\n`;
  const end = '<!-- end -->';
  const from = text.indexOf(start) + start.length;
  return text.slice(0, from) + table + text.slice(text.indexOf(end, from));
}

const files = new Map(tables.map(({ file }) => [file, readFileSync(file, 'utf8')]));
tables.forEach((table) => {
  files.set(table.file, replaceTable(files.get(table.file), table.name, toTable(table)));
});
files.forEach((text, file) => {
  if (!check) {
    writeFileSync(file, text);
  } else if (readFileSync(file, 'utf8') !== text) {
    process.stderr.write(`${file} is stale; run "npm run generate".\n`);
    process.exitCode = 1;
  }
});
