import { decodeWholeNumber } from '@camphorbarrow/core';
import type { StoreUpdate } from '../model/StoreUpdate.js';

/** Fields that hold revisions and eras. Within a value of the store, quotes are escaped. */
const REVISION_TEXT = /"(?:modRevision|revision|era)":"/;
const REVISION_FIELDS: ReadonlySet<string> = new Set(['modRevision', 'revision', 'era']);

const toJson = (_key: string, value: unknown): unknown =>
  typeof value === 'bigint' ? value.toString() : value;

const fromJson = (key: string, value: unknown): unknown =>
  typeof value === 'string' && REVISION_FIELDS.has(key)
    ? (decodeWholeNumber(value) ?? value)
    : value;

/** Encodes a store update as JSON; revisions that a number cannot hold are decimal text. */
export function encodeStoreUpdate(update: StoreUpdate): string {
  return JSON.stringify(update, toJson);
}

/**
 * Parses a store update without checking its fields.
 *
 * @throws SyntaxError if the text is not JSON
 */
export function parseStoreUpdate(text: string): unknown {
  return JSON.parse(text, REVISION_TEXT.test(text) ? fromJson : undefined);
}
