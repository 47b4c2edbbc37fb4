/** Links between daemons: MessagePack frames, correlation of answers, detection of silent connections. */
package org.coriandercrank.peer;
