/**
 * Connections between daemons: MessagePack frames, correlation of calls and answers, detection of silent connections.
 */
package org.coriandercrank.peer;
