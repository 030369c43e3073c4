import { z } from 'zod';
import { parseJsonc } from '@camphorbarrow/core';
import type { fileKinds } from './fileKinds.js';

const SETTINGS_FIELDS = ['host', 'callerListener', 'peerListener', 'secrets', 'keyValueService'];

/**
 * Detects the kind of a file: a list is an exceptions file, an object is recognized by its fields.
 *
 * @throws SettingsError when the file is not JSON with comments
 */
export function detectFileKind(fileName: string, text: string): keyof typeof fileKinds {
  const value = parseJsonc(fileName, text, z.unknown());
  if (Array.isArray(value)) {
    return 'exceptions';
  }
  const fields = typeof value === 'object' && value !== null ? Object.keys(value) : [];
  if (fields.includes('version') && fields.includes('defaults')) {
    return 'document';
  }
  return SETTINGS_FIELDS.some((field) => fields.includes(field)) ? 'settings' : 'defaults';
}
