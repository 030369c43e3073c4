/** Key of the configuration document in the key-value service. */
export const CONFIGURATION_KEY = '/config/current';
