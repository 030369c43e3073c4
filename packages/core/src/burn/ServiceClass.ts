/** Kinds of service with an objective of their own. */
export type ServiceClass = 'urgent' | 'patient' | 'order' | 'status';
