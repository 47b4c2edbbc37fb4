/** A small HTTP/1.1 server and a pooled HTTP/1.1 client on Netty's codec. */
package org.coriandercrank.http;
