#include "router/Daemon.h"
#include "router/JsonDialect.h"

int main(int argc, const char** argv)
{
  return figchute::router::runDaemon(argc, argv, *figchute::router::defaultDialect());
}
