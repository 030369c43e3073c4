import { z } from 'zod';
import type { ConfigRevision } from './ConfigRevision.js';
import type { StoredFleetDocument } from './FleetDocument.js';
import { fleetDocumentSchema } from './fleetDocumentSchema.js';

const revisionSchema = z.looseObject({ version: z.int().positive(), changeId: z.string().min(1) });

export interface ParsedDocument {
  /** Undefined when the text is not a valid document. */
  readonly document: StoredFleetDocument | undefined;
  /** Revision given in the text, even when the rest is not valid for this program version. */
  readonly revision: ConfigRevision | undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Parses the text of a stored document, which may be absent, corrupt or from a newer program
 * version.
 */
export function parseStoredDocument(text: string | undefined): ParsedDocument {
  const value = text === undefined ? undefined : parseJson(text);
  const document = fleetDocumentSchema.safeParse(value).data;
  return { document, revision: document ?? revisionSchema.safeParse(value).data };
}
