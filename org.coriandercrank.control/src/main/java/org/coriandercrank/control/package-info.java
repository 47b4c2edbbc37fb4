/**
 * Control plane of a daemon: its membership and lease, the takeover of failed members, and the dissemination of control
 * objects (configuration, member records and assignment tables).
 */
package org.coriandercrank.control;
