import {
  exceptionsFileSchema,
  fleetDefaultsSchema,
  fleetDocumentSchema,
  hostSettingsSchema,
} from '@camphorbarrow/core';

/** Kinds of files that `config check` accepts, with their schemas. */
export const fileKinds = {
  defaults: { title: 'fleet defaults', schema: fleetDefaultsSchema },
  exceptions: { title: 'exceptions', schema: exceptionsFileSchema },
  settings: { title: 'host settings', schema: hostSettingsSchema },
  document: { title: 'configuration document', schema: fleetDocumentSchema },
} as const;
